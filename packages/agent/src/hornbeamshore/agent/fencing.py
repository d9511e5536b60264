"""Fencing: decides which entry owns the partition and may command the agent."""

from hornbeamshore.base.codes import ResultCode


class Fencing:
    """Fencing epoch granted by the agent, and the lease of the entry that holds it.

    All times are passed in, as seconds of one monotonic clock.

    Parameters
    ----------
    service : str
        Service of the agent; fences for partitions of other services are refused.
    suspect_after : float
        Seconds after the last renewal by the owner from which another entry may be
        granted a fence.
    now : float
        Time at which the process started. A restarted agent does not know which
        fence it granted before, so it grants none until `suspect_after` has passed
        and the leases based on the earlier grant have expired.

    Attributes
    ----------
    partition : str
        Partition of the granted fence; empty before the first grant.
    epoch : int
        Highest epoch granted so far.
    holder : tuple or None
        Process id and incarnation of the entry that was granted the epoch. An
        entry that restarts counts as a different holder, since it has lost the
        state of its jobs.
    """

    def __init__(self, service, suspect_after, now=float("-inf")):
        self.partition = ""
        self.epoch = 0
        self.holder = None
        self._grant_valid = False
        self._service = service
        self._suspect_after = suspect_after
        self._released = False
        self._closed_by_owner = False
        self._owner_exited = False
        self._renewed_at = 0.0
        self._earliest_grant_at = now + suspect_after

    @property
    def owner(self):
        """Current owner; None before the first grant and after `invalidate_grant`."""
        return self.holder if self._grant_valid else None

    def connection_opened(self, peer):
        """Handle a new connection to an entry."""
        if peer == self.owner:
            self._closed_by_owner = self._owner_exited = False
        elif self.owner is not None and peer[0] == self.owner[0]:
            # A higher incarnation proves that the previous process has exited.
            self._owner_exited |= peer[1] > self.owner[1]

    def connection_closed(self, peer, *, by_peer):
        """Handle the end of the last connection to an entry.

        Parameters
        ----------
        by_peer : bool
            Whether the entry's side closed the connection.
        """
        if peer == self.owner and by_peer:
            self._closed_by_owner = True

    def connection_refused(self, peer):
        """Handle a connection attempt that the host of an entry refused.

        If the owner's side also closed the previous connection, its process has
        exited: a middlebox that drops connections does not refuse new ones.
        """
        if peer == self.owner and self._closed_by_owner:
            self._owner_exited = True

    def renew(self, peer, partition, epoch, now):
        """Renew the lease of an entry that holds the epoch; return whether it does.

        Other messages and new connections renew nothing: the process of an entry
        that has ended its term may live on, and its release may have been lost.
        """
        if not self.holds_epoch(peer, partition, epoch):
            return False
        self._renewed_at = now
        return True

    def release(self, peer, partition, epoch):
        """Release the partition if the peer holds it; return whether it did."""
        if not self.holds_epoch(peer, partition, epoch):
            return False
        self._released = True
        return True

    def invalidate_grant(self):
        """Reject all commands until a new fence is granted.

        The epoch is kept as a lower bound, so that an entry that lost ownership
        before the process was paused cannot regain it with its old epoch.
        """
        self._grant_valid = False

    def holds_epoch(self, peer, partition, epoch):
        """Return whether an entry holds the granted epoch and has not released it."""
        return (
            self.is_owner(peer)
            and partition == self.partition
            and epoch == self.epoch
            and not self._released
        )

    def silence_s(self, now):
        """Return the seconds since the grant or its last renewal by the owner."""
        return now - self._renewed_at

    def is_owner(self, peer):
        """Return whether an entry is the current owner."""
        return self.owner is not None and peer == self.owner

    def grant(self, fence, peer, now):
        """Grant a `Fence` unless it is stale or the current owner's lease holds.

        A fence that the holder repeats at its epoch is granted again: the first
        reply may have been lost, or the agent may have been paused.

        Returns
        -------
        ResultCode
            OK if the fence was granted, otherwise the reason of the refusal.
        """
        code = self.check(fence, peer, now)
        if code == ResultCode.OK:
            self.partition, self.epoch = fence.partition, fence.epoch
            self.holder = peer
            self._grant_valid = True
            self._released = False
            self._closed_by_owner = self._owner_exited = False
            self._renewed_at = now
        return code

    def check(self, fence, peer, now):
        """Return the result that `grant` would return, without granting."""
        if fence.partition.rpartition("/")[0] != self._service:
            return ResultCode.UNKNOWN_SERVICE
        is_repeat = peer == self.holder and not self._released
        if fence.epoch < self.epoch or (fence.epoch == self.epoch and not is_repeat):
            return ResultCode.STALE_EPOCH
        if now < self._earliest_grant_at:
            return ResultCode.OWNER_ALIVE
        if peer != self.owner and not self._is_owner_replaceable(now):
            return ResultCode.OWNER_ALIVE
        return ResultCode.OK

    def _is_owner_replaceable(self, now):
        return (
            self.owner is None
            or self._released
            or self._owner_exited
            or self.silence_s(now) >= self._suspect_after
        )
