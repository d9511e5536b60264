"""Leases that agents grant to the owner of their partition, and their quorum."""


class LeaseSet:
    """Leases that agents granted to an owner at one epoch.

    Parameters
    ----------
    lease_s : float
        Seconds for which a lease holds, counted from when the owner sent the request
        that the agent confirmed. The owner's lease thus ends before the agent's.
    """

    def __init__(self, lease_s):
        self._lease_s = lease_s
        self._sent_at = {}
        self.incarnations = {}

    def confirm(self, agent_id, incarnation, sent_at):
        """Record that an agent granted or renewed its lease.

        Parameters
        ----------
        sent_at : float
            When the owner sent the request, in seconds of the clock that is passed to
            `has_quorum` as `now`.
        """
        self._sent_at[agent_id] = sent_at
        self.incarnations[agent_id] = incarnation

    def drop(self, agent_id):
        """Remove the lease of an agent, if there is one."""
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
        """Return whether a quorum of the agents holds a lease; see `is_quorum`."""
        return is_quorum(self.holders(now), agent_ids)


def is_quorum(holders, agent_ids):
    """Return whether `holders` contains a quorum of `agent_ids`.

    A quorum is a majority, or exactly half of the agents if that includes the lowest
    id, so that a partition of two agents can survive the loss of one. Any two
    quorums have a member in common.
    """
    held_count = len(agent_ids & holders)
    if 2 * held_count == len(agent_ids):
        return not agent_ids or min(agent_ids) in holders
    return 2 * held_count > len(agent_ids)
