"""Which entry owns the agent's partition, and whose orders the agent takes."""

from hornbeamshore.base.codes import ResultCode


class Fencing:
    """Fencing epoch that the agent granted, and signs of life of its holder.

    All times are arguments, in seconds of one monotonic clock.

    Parameters
    ----------
    service : str
        Service of the agent; partitions of another one are refused.
    suspect_after : float
        Silence of the owner after which another candidate is granted a fence.
    now : float
        Start of the process. A process that has just started does not know what its
        predecessor granted, so it grants nothing until those leases have ended.

    Attributes
    ----------
    partition : str
        Partition that the owner named; empty before the first fence.
    epoch : int
        Highest epoch that was ever granted.
    holder : tuple or None
        Process id and incarnation of the entry that was granted the epoch. A
        restarted entry is another one, since it knows nothing of the jobs of its
        predecessor.
    """

    def __init__(self, service, suspect_after, now=float("-inf")):
        self.partition = ""
        self.epoch = 0
        self.holder = None
        self._fenced = False
        self._service = service
        self._suspect_after = suspect_after
        self._released = False
        self._closed_by_owner = False
        self._owner_ended = False
        self._heard_at = 0.0
        self._grants_from = now + suspect_after

    @property
    def owner(self):
        """Return the present owner; None before a fence and after `forget`."""
        return self.holder if self._fenced else None

    def opened(self, peer, now):
        """Note a new connection to an entry."""
        if peer == self.owner:
            self._closed_by_owner = self._owner_ended = False
            self._heard_at = now
        elif self.owner is not None and peer[0] == self.owner[0]:
            # A restarted entry shows that its predecessor has ended.
            self._owner_ended |= peer[1] > self.owner[1]

    def closed(self, peer, *, by_peer):
        """Note the end of the last connection to an entry."""
        if peer == self.owner and by_peer:
            self._closed_by_owner = True

    def refused(self, peer):
        """Note that the host of an entry refused a new connection.

        After a connection that the owner's side closed this shows that its process
        has ended; a middlebox that drops connections does not refuse new ones.
        """
        if peer == self.owner and self._closed_by_owner:
            self._owner_ended = True

    def heard(self, peer, now):
        """Note a message of an entry."""
        if peer == self.owner:
            self._heard_at = now

    def release(self, peer, partition, epoch):
        """Note that the owner gave the partition up; return whether it was its."""
        if not self.commands(peer, partition, epoch):
            return False
        self._released = True
        return True

    def forget(self):
        """Take no order until an owner has fenced the agent anew.

        The epoch stays as a lower bound, so that an owner that was deposed before
        the pause cannot come back.
        """
        self._fenced = False

    def commands(self, peer, partition, epoch):
        """Return whether an entry holds the granted epoch and has not released it."""
        return (
            self.is_owner(peer)
            and partition == self.partition
            and epoch == self.epoch
            and not self._released
        )

    def is_owner(self, peer):
        """Return whether an entry is the present owner."""
        return self.owner is not None and peer == self.owner

    def grant(self, fence, peer, now):
        """Decide a `Fence` and return a `ResultCode`; OK means that it is granted.

        A repeated fence of the holder at its own epoch is granted again: the reply
        to the first may have been lost, or the agent was paused.
        """
        code = self._check(fence, peer, now)
        if code == ResultCode.OK:
            self.partition, self.epoch = fence.partition, fence.epoch
            self.holder = peer
            self._fenced = True
            self._released = False
            self._closed_by_owner = self._owner_ended = False
            self._heard_at = now
        return code

    def _check(self, fence, peer, now):
        if fence.partition.rpartition("/")[0] != self._service:
            return ResultCode.UNKNOWN_SERVICE
        renewed = peer == self.holder and not self._released
        if fence.epoch < self.epoch or (fence.epoch == self.epoch and not renewed):
            return ResultCode.STALE_EPOCH
        if now < self._grants_from:
            return ResultCode.OWNER_ALIVE
        if peer != self.owner and not self._owner_gone(now):
            return ResultCode.OWNER_ALIVE
        return ResultCode.OK

    def _owner_gone(self, now):
        return (
            self.owner is None
            or self._released
            or self._owner_ended
            or now - self._heard_at >= self._suspect_after
        )
