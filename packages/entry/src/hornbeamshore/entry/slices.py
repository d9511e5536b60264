"""Distribution of the configuration: each agent gets the slice of its service."""

from hornbeamshore.base.hashing import content_digest
from hornbeamshore.wire.messages import ConfigUpdate


class AgentSlices:
    """Sends slices to the connected agents and records the revisions they report.

    Most changes of a deployment affect other services. An agent that already has the
    content of its slice gets only the digest with the new revision, and pulls the
    content if its own digest differs.

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
        """Return the highest revision that an agent reported, or 0."""
        return self._in_force.get(conn, 0)

    def record_revision(self, conn, revision):
        """Record the revision that an agent reports to have in force."""
        self._in_force[conn] = max(revision, self.in_force(conn))

    def closed(self, conn):
        """Discard the revisions of an agent whose connection ended."""
        self._in_force.pop(conn, None)
        self._sent.pop(conn, None)

    def send_update(self, link):
        """Send an agent the revision in force, unless it has that or a higher one."""
        current = self._replica.service_slice(link.service)
        if current is None or current.revision <= self.in_force(link.conn):
            return
        known = max(self._sent.get(link.conn, 0), self.in_force(link.conn))
        if known >= current.content_revision:
            digest = content_digest(current.content)
            link.conn.try_send(ConfigUpdate(current.revision, digest))
        else:
            self.send_content(link)

    def send_content(self, link):
        """Send an agent the content of its slice."""
        current = self._replica.service_slice(link.service)
        if current is not None:
            self._sent[link.conn] = current.revision
            link.conn.try_send(ConfigUpdate(current.revision, current.content))
