"""Connections of an entry to agents."""

from dataclasses import dataclass

import trio

from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.base.types import Partition
from hornbeamshore.entry.events import ChangeNotifier


@dataclass(frozen=True, slots=True)
class AgentLink:
    """Connection to an agent and the properties that the agent announced over it.

    Attributes
    ----------
    incarnation : int
        Incarnation at the start of the agent's process, to which its start records
        belong. A paused agent that reconnects keeps it.
    """

    agent_id: str
    incarnation: int
    conn: object
    service: str
    target: str
    slots: int
    connections: int
    labels: tuple[str, ...]
    data_centre: str
    rack: str
    leaving: bool


def link_of(conn, announce):
    """Return the link for a connection and the announcement received over it."""
    return AgentLink(
        agent_id=conn.peer.process_id,
        incarnation=announce.records_since,
        conn=conn,
        service=announce.service,
        target=announce.target,
        slots=announce.slots,
        connections=announce.connections,
        labels=announce.labels,
        data_centre=conn.peer.data_centre,
        rack=conn.peer.rack,
        leaving=announce.leaving,
    )


def partition_of_agent(agent_id, service, partitions):
    """Return the partition of an agent, chosen by rendezvous hashing of its id."""
    names = [str(index) for index in range(partitions)]
    return Partition(service, int(rendezvous_order(agent_id, names)[0]))


class AgentLinks:
    """Links to the connected agents, and the times when others disconnected.

    `changed` is notified when an agent announces itself or disconnects.
    """

    def __init__(self):
        self.changed = ChangeNotifier()
        self._links = {}
        self._disconnected_at = {}

    def announced(self, link):
        """Add a link, which replaces the agent's link of the same or an older process.

        A link of an older incarnation than the known one is closed instead.
        """
        known = self._links.get(link.agent_id)
        if known is not None and known.conn is not link.conn:
            if known.conn.peer.incarnation > link.conn.peer.incarnation:
                # An older process that was paused must not replace its successor.
                link.conn.close()
                return
            known.conn.close()
        self._links[link.agent_id] = link
        self._disconnected_at.pop(link.agent_id, None)
        self.changed.notify()

    def closed(self, conn):
        """Remove the link of a connection that ended."""
        link = self._links.get(conn.peer.process_id)
        if link is not None and link.conn is conn:
            del self._links[link.agent_id]
            self._disconnected_at[link.agent_id] = trio.current_time()
            self.changed.notify()

    def get(self, agent_id):
        """Return the link of an agent, or None while it is not connected."""
        return self._links.get(agent_id)

    def all(self):
        """Return the links of all connected agents."""
        return tuple(self._links.values())

    def of_partition(self, partition, partitions):
        """Return the links of the agents of a partition.

        Parameters
        ----------
        partitions : int
            Number of partitions of the service.
        """
        return tuple(
            link
            for link in self._links.values()
            if link.service == partition.service
            and partition_of_agent(link.agent_id, link.service, partitions) == partition
        )

    def seconds_since_disconnect(self, agent_id, now):
        """Return the seconds since an agent disconnected, or 0 while connected.

        For an agent that never connected, they count from the first call.
        """
        if agent_id in self._links:
            return 0.0
        return now - self._disconnected_at.setdefault(agent_id, now)
