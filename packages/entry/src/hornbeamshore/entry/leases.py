"""Leases that agents grant to the owner of their partition."""


class LeaseSet:
    """Leases of one epoch.

    Parameters
    ----------
    lease_s : float
        Seconds for which a lease holds after the request that the agent confirmed
        was sent. Counting from the sending keeps the owner's view the shorter one.
    """

    def __init__(self, lease_s):
        self._lease_s = lease_s
        self._sent_at = {}
        self.incarnations = {}

    def confirm(self, agent_id, incarnation, sent_at):
        """Record that an agent granted or renewed a lease."""
        self._sent_at[agent_id] = sent_at
        self.incarnations[agent_id] = incarnation

    def drop(self, agent_id):
        """Forget the lease of an agent."""
        self._sent_at.pop(agent_id, None)
        self.incarnations.pop(agent_id, None)

    def holders(self, now):
        """Return the ids of the agents whose lease still holds."""
        return {
            agent_id
            for agent_id, sent_at in self._sent_at.items()
            if now - sent_at < self._lease_s
        }

    def has_quorum(self, agent_ids, now):
        """Return whether the leases of a quorum of agents hold; see `is_quorum`."""
        return is_quorum(self.holders(now), agent_ids)


def is_quorum(holders, agent_ids):
    """Return whether `holders` contains a quorum of `agent_ids`.

    A quorum is a majority, or half of the agents with the lowest id among them, so
    that the loss of one of two agents need not stop a partition. Any two quorums
    have a member in common.
    """
    have = len(agent_ids & holders)
    if 2 * have == len(agent_ids):
        return not agent_ids or min(agent_ids) in holders
    return 2 * have > len(agent_ids)
