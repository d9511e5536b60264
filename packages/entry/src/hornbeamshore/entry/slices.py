"""Configuration of the agents: each gets the slice of its own service."""

from hornbeamshore.base.hashing import content_digest
from hornbeamshore.wire.messages import ConfigUpdate


class AgentSlices:
    """Slices sent to the connected agents, and the revisions that these report.

    An agent that holds the present content gets its digest instead, since most
    changes of a deployment are of other services. It pulls the content if its own
    digest differs.

    Parameters
    ----------
    replica : ConfigReplica
        Configuration in force.
    """

    def __init__(self, replica):
        self._replica = replica
        self._in_force = {}
        self._sent = {}

    def in_force(self, conn):
        """Return the revision that an agent reported last, 0 for none."""
        return self._in_force.get(conn, 0)

    def reported(self, conn, revision):
        """Take the revision that an agent has in force."""
        self._in_force[conn] = max(revision, self.in_force(conn))

    def closed(self, conn):
        """Forget an agent whose connection ended."""
        self._in_force.pop(conn, None)
        self._sent.pop(conn, None)

    def offer(self, link):
        """Send an agent the revision in force, unless it has that or a higher one."""
        held = self._replica.service_slice(link.service)
        if held is None or held.revision <= self.in_force(link.conn):
            return
        known = max(self._sent.get(link.conn, 0), self.in_force(link.conn))
        if known >= held.content_revision:
            digest = content_digest(held.content)
            link.conn.try_send(ConfigUpdate(held.revision, digest))
        else:
            self.send_content(link)

    def send_content(self, link):
        """Send an agent its whole slice."""
        held = self._replica.service_slice(link.service)
        if held is not None:
            self._sent[link.conn] = held.revision
            link.conn.try_send(ConfigUpdate(held.revision, held.content))
