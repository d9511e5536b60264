"""Takeover of a target, renewal of its lease, and detection of its loss."""

import contextlib
from dataclasses import replace
from functools import partial

import trio

from hornbeamshore.base.decoding import REJECTIONS
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.channels import (
    TARGET_RETRY_PAUSE_S,
    ChannelCache,
    read_clock,
    stop_leftover_runs,
)
from hornbeamshore.runner.takeover import LossReason, Takeover
from hornbeamshore.runner.target import (
    TargetFenced,
    TargetGone,
    TargetReplaced,
    TargetRestarted,
    TargetUnresponsive,
)

# An announcement whose clock reading is further ahead of the target's clock is wrong:
# the network only makes it older, and the estimate of the clock is not slow.
MAX_CLOCK_LEAD_MS = 2000
# A target that goes on after a departure announces itself again within seconds; the
# estimate of its clock may be a little behind the last announcement before it.
DEPARTURE_MARGIN_MS = 1000
# Targets hold the token in a signed 64-bit integer.
MAX_FENCING_TOKEN = 2**62

log = PartLogger("agent")


class Supervisor:
    """Takes over the target of an agent and renews its lease.

    Parameters
    ----------
    cfg : RunnerSettings
        Settings.
    driver : TargetDriver
        Opens channels to the target.
    owner : TargetEvents
        Owner of the runs.
    clock : callable
        Returns the time in seconds by which leases are measured; it includes the time
        for which the host is suspended.

    Attributes
    ----------
    target : TargetIncarnation or None
        Incarnation in use, as it last announced itself; before the first takeover, the
        one that was announced first.
    takeover : Takeover or None
        Current takeover; None until the target runs nothing of earlier agents.
    has_adopted : bool
        Whether this agent process has taken over a target. Before that, runs that
        its predecessor started may still be running.
    is_suspect : bool
        Whether the last poll was unanswered; no run is started until one is answered.
    answered_at : float
        Time on the clock at which the target last answered a call.
    """

    def __init__(self, cfg, driver, owner, clock):
        self.cfg = cfg
        self.target = None
        self.takeover = None
        self.is_suspect = self.has_adopted = False
        self.answered_at = 0.0
        self._driver = driver
        self._owner = owner
        self._clock = clock
        # Another announced incarnation that has not answered a call yet.
        self._candidate = None
        # Last announcement of the target that departed last, with the clock reading at
        # that moment; a delayed announcement must not bring it back.
        self._departed = None
        self._fencing_token = 0
        self._last_acknowledged = 0
        self._has_unacknowledged_ends = False
        # Last expiry granted in this takeover, in ms on the clock of the target.
        self._lease_expiry_ms = 0
        self._renewed_at = 0.0
        self._poll_requested = trio.Event()
        self._adopt_requested = trio.Event()

    async def run(self):
        """Take over and poll targets until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._adopt_targets)
            nursery.start_soon(self._poll_target)

    def handle_announcement(self, target):
        """Handle an announcement of the target; a delayed one is ignored.

        One of another incarnation than the one in use may be delayed as well, or come
        from another process. It takes effect once the target has confirmed it.
        """
        if self._is_departed(target):
            log.info("announcement ignored departed=%s", target.incarnation_id)
        elif self.target is None or target.identity == self.target.identity:
            self._update_target(target)
        else:
            known = self._candidate
            if known is None or known.identity != target.identity:
                log.info("target announced id=%s", target.incarnation_id)
            self._candidate = target
            self._adopt_requested.set()

    def _is_departed(self, target):
        """Return whether an announcement was sent before its target departed."""
        departed = self._departed
        return (
            departed is not None
            and target.identity == departed.identity
            and target.clock_ms <= departed.clock_ms + DEPARTURE_MARGIN_MS
        )

    def _update_target(self, target):
        current = self.target
        if current is not None and not self._is_later(target, current):
            return
        if target.leaving and not (current and current.leaving):
            log.info("target leaving id=%s", target.incarnation_id)
        self.target = target
        if self.takeover is None:
            self._adopt_requested.set()
        self._owner.target_changed()

    def _is_later(self, target, current):
        """Return whether one announcement of an incarnation was sent after another.

        The clock of the incarnation decides, since its readings can be checked; the
        sequence numbers only order announcements of the same millisecond.
        """
        if self.takeover is not None and self._is_clock_wrong(target):
            exc = ValueError(f"clock reading {target.clock_ms} is ahead of the clock")
            REJECTIONS.record("announcement", target.incarnation_id, exc)
            return False
        return (target.clock_ms, target.sequence) > (current.clock_ms, current.sequence)

    def _is_clock_wrong(self, target):
        return target.clock_ms > self._driver.clock_ms + MAX_CLOCK_LEAD_MS

    def handle_departure(self, incarnation_id):
        """Handle the departure of the target with this id."""
        candidate = self._candidate
        if candidate is not None and candidate.incarnation_id == incarnation_id:
            self._candidate = None
        if self.target is not None and self.target.incarnation_id == incarnation_id:
            log.info("target departed id=%s", incarnation_id)
            self._departed = self.target
            if self.takeover is not None:
                clock_ms = round(self._driver.clock_ms)
                self._departed = replace(self.target, clock_ms=clock_ms)
            self._mark_lost(LossReason.DEPARTED)
            self.target = None

    def handle_replacement(self, takeover, exc):
        """Handle the answer of another incarnation to a call of `takeover`.

        Parameters
        ----------
        takeover : Takeover
            Takeover during which the call was sent.
        exc : TargetReplaced
            Error of the call.
        """
        if takeover == self.takeover:
            is_same_id = isinstance(exc, TargetRestarted)
            self._mark_lost(
                LossReason.RESTARTED if is_same_id else LossReason.MISDIRECTED
            )

    def lease_expiry_ms(self):
        """Return the expiry of the target's lease for a call that is about to be sent.

        The lease holds for all runs at the target, so it is extended only if none of
        them has to stop; otherwise the last expiry is returned. That is checked after
        the new expiry was computed, so that a suspension of the agent between the two
        cannot make the expiry later than the check allows, nor can a clock that runs
        slow.

        Returns
        -------
        int
            Reading of the target's clock in ms.
        """
        lease_ms = self.cfg.lease.target_lease * 1000
        expiry_ms = round(self._driver.earliest_clock_ms + lease_ms)
        if self._owner.may_extend_lease():
            self._lease_expiry_ms = max(self._lease_expiry_ms, expiry_ms)
        return self._lease_expiry_ms

    def record_renewal(self):
        """Record the end of a call that may have renewed the lease, answered or not."""
        self._renewed_at = self._clock()

    def record_answer(self):
        """Record that the target has just answered a call."""
        self.answered_at = self._clock()

    def request_poll(self):
        """Request a poll of the target, unless one is in progress."""
        self._poll_requested.set()

    def end_lapsed_runs(self):
        """End the runs left in doubt by a restart once their lease has expired."""
        if self.takeover is not None or not self._owner.has_runs():
            return
        if self._clock() - self._renewed_at > self.cfg.lease.target_stop_bound_s:
            self._owner.target_cleared()

    def _mark_lost(self, reason):
        if self.takeover is not None:
            log.warning("target lost reason=%r", reason.value)
        if reason is LossReason.RESTARTED:
            # The new incarnation may have executed the last calls.
            self.record_renewal()
        self.takeover = None
        self.is_suspect = False
        self._has_unacknowledged_ends = False
        self._owner.target_lost(reason)

    # Polling.

    async def _poll_target(self):
        channels = ChannelCache(self._driver)
        while True:
            takeover = self.takeover
            if takeover is None or not (
                self._owner.has_runs() or self._has_unacknowledged_ends
            ):
                self._poll_requested = trio.Event()
                await self._poll_requested.wait()
                continue
            channel = await channels.open(takeover)
            await self._poll_once(channel, takeover)

    async def _poll_once(self, channel, takeover):
        expected = self._owner.expected_runs()
        # A stop that prevented a start causes no end for which a poll could wait.
        is_waiting_for_ends = self._owner.has_runs() and not any(
            run.stop_answered for run in expected
        )
        wait_s = self.cfg.poll_wait if is_waiting_for_ends else 0.0
        # The lease of a suspect target is left to expire: the target may execute the
        # calls that renew it while only their answers are lost.
        renew = not self.is_suspect
        grant = partial(self._grant_renewal, takeover) if renew else None
        try:
            state = await channel.poll(wait_s, self._last_acknowledged, grant)
        except TargetReplaced as exc:
            self.handle_replacement(takeover, exc)
            return
        except TargetUnresponsive as exc:
            if takeover == self.takeover:
                if renew:
                    self.record_renewal()
                self._handle_unanswered_poll(exc)
            await trio.sleep(TARGET_RETRY_PAUSE_S)
            return
        if takeover != self.takeover:
            return
        self.record_answer()
        self.is_suspect = False
        if renew:
            self.record_renewal()
        self._process_state(state, expected)

    def _grant_renewal(self, takeover):
        """Return the expiry for a poll, or None if its takeover has ended."""
        return self.lease_expiry_ms() if takeover == self.takeover else None

    def _handle_unanswered_poll(self, exc):
        silence = self._clock() - self._renewed_at
        log.warning("poll unanswered silence=%.2f: %s", silence, exc)
        was_suspect, self.is_suspect = self.is_suspect, True
        if was_suspect and isinstance(exc, TargetGone):
            # A listener that is only overloaded lets a connection attempt time out.
            self._mark_lost(LossReason.REFUSED)
        elif silence > self.cfg.lease.target_stop_bound_s:
            self._mark_lost(LossReason.EXPIRED)

    def _process_state(self, state, expected):
        self._has_unacknowledged_ends = bool(state.ended)
        ended = [item for item in state.ended if item.number > self._last_acknowledged]
        if ended:
            self._last_acknowledged = max(item.number for item in ended)
        self._owner.target_polled(ended, state, expected)

    # Takeover.

    async def _adopt_targets(self):
        while True:
            await self._adopt_requested.wait()
            self._adopt_requested = trio.Event()
            while (target := self._next_incarnation()) is not None:
                try:
                    await self._take_over(target)
                except TargetReplaced as exc:
                    log.info(
                        "announcement not confirmed id=%s started_ms=%d: %s",
                        target.incarnation_id,
                        target.started_ms,
                        exc,
                    )
                    if not self._drop_candidate(target):
                        break
                except TargetUnresponsive as exc:
                    log.warning("target not adopted: %s", exc)
                    if self.takeover is not None:
                        # Tried again with the next announcement; the target in use
                        # may answer nothing but calls to itself.
                        self._drop_candidate(target)
                    await trio.sleep(self.cfg.takeover_retry)

    def _next_incarnation(self):
        """Return the announced incarnation to take over next, or None."""
        if self._candidate is not None:
            return self._candidate
        return self.target if self.takeover is None else None

    def _drop_candidate(self, target):
        """Drop a candidate unless it was announced again; return whether it was one."""
        if self._candidate is target:
            self._candidate = None
            return True
        return self._candidate is not None

    async def _take_over(self, target):
        """Take over an announced incarnation once it has answered a call.

        Raises
        ------
        TargetReplaced
            If another incarnation answers.
        TargetUnresponsive
            If the incarnation does not answer, or may still be running something.
        """
        is_same = self.target is not None and target.identity == self.target.identity
        acknowledged = self._last_acknowledged if is_same else 0
        # A call with the present token does not disturb the incarnation in use.
        async with self._open_channel(target) as channel:
            clock_ms = await read_clock(channel, acknowledged)
        if not is_same:
            self._replace_target(target)
        self._driver.follow_clock(target, clock_ms)
        self._lease_expiry_ms = 0
        # The target's monotonic clock orders the fencing tokens of successive agents
        # even if the wall clock is set back.
        self._fencing_token = max(self._fencing_token + 1, round(clock_ms))
        takeover = Takeover(target, self._fencing_token)
        async with self._open_channel(target) as channel:
            try:
                acknowledged = await stop_leftover_runs(channel, acknowledged)
            except TargetFenced:
                # Only agents of this host call the target: the higher token is that of
                # a predecessor.
                self._fencing_token = min(2 * self._fencing_token, MAX_FENCING_TOKEN)
                raise
        if self.target is not None and self.target.identity == target.identity:
            if self._is_clock_wrong(self.target):
                # The next announcement must not be taken for an earlier one.
                self.target = replace(self.target, clock_ms=0, sequence=0)
            self._last_acknowledged = acknowledged
            self._adopt(takeover)

    def _open_channel(self, target):
        return contextlib.aclosing(
            self._driver.open_channel(target, self._fencing_token)
        )

    def _replace_target(self, target):
        """Use a confirmed incarnation in place of the one before, which has ended."""
        log.info("target replaced id=%s", target.incarnation_id)
        previous, candidate = self.target, self._candidate
        if previous is not None:
            is_same_id = previous.incarnation_id == target.incarnation_id
            self._mark_lost(LossReason.RESTARTED if is_same_id else LossReason.REPLACED)
        self._last_acknowledged = 0
        if candidate is not None and candidate.identity == target.identity:
            self._candidate = None
            target = candidate
        self.target = target
        self._owner.target_changed()

    def _adopt(self, takeover):
        log.info(
            "target adopted id=%s fence=%d",
            takeover.target.incarnation_id,
            takeover.fencing_token,
        )
        self._owner.target_cleared()
        self.record_renewal()
        self.record_answer()
        self.takeover = takeover
        self.has_adopted = True
        self._owner.target_changed()
