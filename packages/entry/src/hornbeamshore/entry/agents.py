"""Agents that are connected to an entry."""

from dataclasses import dataclass

import trio

from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.base.types import Partition
from hornbeamshore.entry.events import Changed


@dataclass(frozen=True, slots=True)
class AgentLink:
    """Connection to an agent and what the agent announced over it.

    Attributes
    ----------
    incarnation : int
        Incarnation at the start of the agent's process, which its records have.
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
    """Return the link that an announcement describes."""
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
    """Return the partition to which an agent of a service belongs."""
    names = [str(index) for index in range(partitions)]
    return Partition(service, int(rendezvous_order(agent_id, names)[0]))


class AgentLinks:
    """Links to the agents that are connected now, and when others were last.

    `changed` is notified at each announcement and each end of a connection.
    """

    def __init__(self):
        self.changed = Changed()
        self._links = {}
        self._gone_at = {}

    def announced(self, link):
        """Take a link; a newer incarnation replaces an older one."""
        known = self._links.get(link.agent_id)
        if known is not None and known.conn is not link.conn:
            if known.conn.peer.incarnation > link.conn.peer.incarnation:
                # A paused process of an older incarnation must not return.
                link.conn.close()
                return
            known.conn.close()
        self._links[link.agent_id] = link
        self._gone_at.pop(link.agent_id, None)
        self.changed.notify()

    def closed(self, conn):
        """Forget the link of a connection that ended."""
        link = self._links.get(conn.peer.process_id)
        if link is not None and link.conn is conn:
            del self._links[link.agent_id]
            self._gone_at[link.agent_id] = trio.current_time()
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

    def gone_for(self, agent_id, now):
        """Return the seconds since an agent's connection ended; 0 if connected."""
        if agent_id in self._links:
            return 0.0
        return now - self._gone_at.setdefault(agent_id, now)
