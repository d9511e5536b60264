"""Takeover of a target, renewal of its lease, and detection of its loss."""

import abc
import contextlib
import enum
from dataclasses import dataclass

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.target import (
    TargetGone,
    TargetIncarnation,
    TargetReplaced,
    TargetUnresponsive,
)

# Pause before the next call to a target that did not answer or is still stopping runs.
TARGET_RETRY_PAUSE_S = 0.05

log = PartLogger("agent")


@dataclass(frozen=True, slots=True)
class Takeover:
    """Exclusive control of a target incarnation by this agent.

    Attributes
    ----------
    target : TargetIncarnation
        Incarnation, as announced when it was taken over.
    fencing_token : int
        Fencing token; the target ignores calls with the lower token of an earlier
        takeover.
    """

    target: TargetIncarnation
    fencing_token: int


class LossReason(enum.Enum):
    """Sign by which the loss of a target was noticed."""

    REFUSED = "connections refused"
    EXPIRED = "target lease expired"
    REPLACED = "target replaced"
    MISDIRECTED = "another incarnation answered"
    DEPARTED = "target departed"

    @property
    def is_crash(self):
        """Whether the target is certain to have ended without notice."""
        return self not in (LossReason.EXPIRED, LossReason.DEPARTED)


class TargetEvents(abc.ABC):
    """Queries and notifications from a supervisor to the owner of the runs."""

    @abc.abstractmethod
    def has_runs(self):
        """Return whether the target may be running anything."""

    @abc.abstractmethod
    def expected_runs(self):
        """Return the runs that a poll sent now must report, running or ended."""

    @abc.abstractmethod
    def target_polled(self, ended, state, expected):
        """Process the answer to a poll.

        Parameters
        ----------
        ended : list of EndedRun
            Ended runs that no earlier poll has reported.
        state : TargetState
            Answer of the target.
        expected : list of Run
            Result of `expected_runs` when the poll was sent; runs that the target does
            not report are missing.
        """

    @abc.abstractmethod
    def target_changed(self):
        """Update the state after the target was announced, taken over or is leaving."""

    @abc.abstractmethod
    def target_lost(self, reason):
        """End all runs; none of them is running at the target any more.

        Parameters
        ----------
        reason : LossReason
            Sign by which the loss was noticed.
        """


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
        Incarnation from the last accepted announcement.
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
        # Identity of the target that departed last; a delayed announcement of it must
        # not bring it back.
        self._departed = None
        self._fencing_token = 0
        self._last_acknowledged = 0
        self._has_unacknowledged_ends = False
        self._renewed_at = 0.0
        self._poll_requested = trio.Event()
        self._adopt_requested = trio.Event()

    async def run(self):
        """Take over and poll targets until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._adopt_targets)
            nursery.start_soon(self._poll_target)

    def handle_announcement(self, target):
        """Handle an announcement of the target; a delayed one is ignored."""
        current = self.target
        if target.identity == self._departed:
            log.info("announcement ignored departed=%s", target.incarnation_id)
            return
        if current is not None and target.identity == current.identity:
            if target.sequence <= current.sequence:
                return
        elif current is not None and not target.supersedes(current):
            log.info("announcement ignored target=%s", target.incarnation_id)
            return
        else:
            log.info("target announced id=%s", target.incarnation_id)
            self._mark_lost(LossReason.REPLACED)
            self._fencing_token = self._last_acknowledged = 0
        if target.leaving and not (current and current.leaving):
            log.info("target leaving id=%s", target.incarnation_id)
        self._driver.observe_clock(target.clock_ms)
        self.target = target
        if self.takeover is None:
            self._adopt_requested.set()
        self._owner.target_changed()

    def handle_departure(self, incarnation_id):
        """Handle the departure of the target with this id."""
        if self.target is not None and self.target.incarnation_id == incarnation_id:
            log.info("target departed id=%s", incarnation_id)
            self._departed = self.target.identity
            self._mark_lost(LossReason.DEPARTED)
            self.target = None

    def handle_replacement(self, takeover):
        """Handle the answer of another incarnation to a call of `takeover`."""
        if takeover == self.takeover:
            self._mark_lost(LossReason.MISDIRECTED)

    def record_renewal(self):
        """Record the end of a call that may have renewed the lease, answered or not."""
        self._renewed_at = self._clock()

    def record_answer(self):
        """Record that the target has just answered a call."""
        self.answered_at = self._clock()

    def request_poll(self):
        """Request a poll of the target, unless one is in progress."""
        self._poll_requested.set()

    def _mark_lost(self, reason):
        if self.takeover is not None:
            log.warning("target lost reason=%r", reason.value)
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
        try:
            state = await channel.poll(wait_s, self._last_acknowledged, renew=renew)
        except TargetReplaced:
            self.handle_replacement(takeover)
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
            while self.target is not None and self.takeover is None:
                target = self.target
                # The target's monotonic clock orders the fencing tokens of successive
                # agents even if the wall clock is set back.
                self._fencing_token = max(self._fencing_token + 1, target.clock_ms)
                takeover = Takeover(target, self._fencing_token)
                async with contextlib.aclosing(
                    self._driver.open_channel(target, self._fencing_token)
                ) as channel:
                    acknowledged = await self._stop_leftover_runs(channel)
                is_current = self.target and self.target.identity == target.identity
                if acknowledged is not None and is_current:
                    self._last_acknowledged = acknowledged
                    self._adopt(takeover)
                else:
                    await trio.sleep(self.cfg.takeover_retry)

    async def _stop_leftover_runs(self, channel):
        """Stop the runs of earlier agents.

        Returns
        -------
        int or None
            Number of the last ended run that was acknowledged; None if the target may
            still be running something.
        """
        acknowledged = self._last_acknowledged
        try:
            while True:
                state = await channel.poll(0.0, acknowledged, renew=False)
                acknowledged = max(
                    [acknowledged, *(ended.number for ended in state.ended)]
                )
                if not state.running and not state.ended:
                    return acknowledged
                for item in state.running:
                    await channel.stop(item.task, item.run)
                await trio.sleep(TARGET_RETRY_PAUSE_S)
        except TargetUnresponsive as exc:
            log.warning("target not adopted: %s", exc)
        except TargetReplaced:
            log.info("target not adopted: another incarnation answered")
        return None

    def _adopt(self, takeover):
        log.info(
            "target adopted id=%s fence=%d",
            takeover.target.incarnation_id,
            takeover.fencing_token,
        )
        self.record_renewal()
        self.record_answer()
        self.takeover = takeover
        self.has_adopted = True
        self._owner.target_changed()


class ChannelCache:
    """Caches one channel to the target of the current takeover."""

    def __init__(self, driver):
        self._driver = driver
        self._takeover = None
        self._channel = None

    async def open(self, takeover):
        """Return the channel of a takeover, after closing that of an earlier one."""
        if takeover != self._takeover:
            if self._channel is not None:
                await self._channel.aclose()
            self._channel = self._driver.open_channel(
                takeover.target, takeover.fencing_token
            )
            self._takeover = takeover
        return self._channel
