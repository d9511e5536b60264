"""Takeover of a target, renewal of its lease, and detection of its loss."""

import abc
import contextlib
from dataclasses import dataclass

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.target import TargetReplaced, TargetSilent

# Pause before the next call to a target that did not answer or still stops its runs.
LOOK_AGAIN_S = 0.05

log = PartLogger("agent")


@dataclass(frozen=True, slots=True)
class Takeover:
    """Takeover of a target; calls that belong to an earlier one have no effect."""

    incarnation_id: str
    fence: int


class TargetEvents(abc.ABC):
    """Queries and notifications from a supervisor to the owner of the runs."""

    @abc.abstractmethod
    def has_runs(self):
        """Return whether the target may be running anything."""

    @abc.abstractmethod
    def expected_runs(self):
        """Return the runs that a poll sent now must report, running or ended."""

    @abc.abstractmethod
    def state_taken(self, ended, state, expected):
        """Process ended runs, running runs, and expected runs that are missing."""

    @abc.abstractmethod
    def target_changed(self):
        """React to a target that was announced or taken over, or that is leaving."""

    @abc.abstractmethod
    def target_lost(self, reason):
        """End all runs; none of them is running at the target any more."""


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
        Returns the time in seconds by which leases are measured.

    Attributes
    ----------
    target : TargetIncarnation or None
        Incarnation from the last accepted announcement.
    takeover : Takeover or None
        Set while this agent holds the target, which runs nothing of earlier agents.
    has_adopted : bool
        Whether this agent process has taken over a target. Before that, runs that
        its predecessor started may still be running.
    is_suspect : bool
        Whether the last poll was unanswered; no run is started until one is answered.
    """

    def __init__(self, cfg, driver, owner, clock):
        self.cfg = cfg
        self.target = None
        self.takeover = None
        self.is_suspect = self.has_adopted = False
        self._driver = driver
        self._owner = owner
        self._clock = clock
        self._fence = 0
        self._acknowledged = 0
        self._has_untaken_ends = False
        self._renewed_at = 0.0
        self._wake_poll = trio.Event()
        self._wake_adopt = trio.Event()

    async def run(self):
        """Take over and poll targets until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._adopt_targets)
            nursery.start_soon(self._poll_target)

    def announced(self, target):
        """Handle an announcement of the target; a delayed one is ignored."""
        known = self.target
        if known is not None and target.life == known.life:
            if target.sequence <= known.sequence:
                return
        elif known is not None and not target.replaces(known):
            log.info("announcement ignored target=%s", target.incarnation_id)
            return
        else:
            log.info("target announced id=%s", target.incarnation_id)
            self._lose("target replaced")
            self._fence = self._acknowledged = 0
        if target.leaving and not (known and known.leaving):
            log.info("target leaving id=%s", target.incarnation_id)
        self._driver.observe_clock(target.clock_ms)
        self.target = target
        if self.takeover is None:
            self._wake_adopt.set()
        self._owner.target_changed()

    def departed(self, incarnation_id):
        """Handle the departure of the target with this id."""
        if self.target is not None and self.target.incarnation_id == incarnation_id:
            log.info("target departed id=%s", incarnation_id)
            self._lose("target departed")
            self.target = None

    def replaced(self, takeover):
        """Handle the answer of another incarnation to a call of `takeover`."""
        if takeover == self.takeover:
            self._lose("another incarnation answered")

    def renewed(self):
        """Record that a call that may have renewed the lease was answered or failed."""
        self._renewed_at = self._clock()

    def poll_soon(self):
        """Poll the target if no poll is in progress."""
        self._wake_poll.set()

    def _lose(self, reason):
        if self.takeover is not None:
            log.warning("target lost reason=%r", reason)
        self.takeover = None
        self.is_suspect = False
        self._has_untaken_ends = False
        self._owner.target_lost(reason)

    # Polling.

    async def _poll_target(self):
        channels = ChannelKeeper(self._driver, self)
        while True:
            takeover = self.takeover
            if takeover is None or not (
                self._owner.has_runs() or self._has_untaken_ends
            ):
                self._wake_poll = trio.Event()
                await self._wake_poll.wait()
                continue
            channel = await channels.open(takeover)
            await self._poll_once(channel, takeover)

    async def _poll_once(self, channel, takeover):
        expected = self._owner.expected_runs()
        wait_s = self.cfg.poll_wait if self._owner.has_runs() else 0.0
        # The lease of a suspect target is left to expire: the target may execute the
        # calls that renew it while only their answers are lost.
        renew = not self.is_suspect
        try:
            state = await channel.poll(wait_s, self._acknowledged, renew=renew)
        except TargetReplaced:
            self.replaced(takeover)
            return
        except TargetSilent as exc:
            if takeover == self.takeover:
                if renew:
                    self.renewed()
                self._unanswered(exc)
            await trio.sleep(LOOK_AGAIN_S)
            return
        if takeover != self.takeover:
            return
        self.is_suspect = False
        if renew:
            self.renewed()
        self._take(state, expected)

    def _unanswered(self, exc):
        silence = self._clock() - self._renewed_at
        log.warning("poll unanswered silence=%.2f: %s", silence, exc)
        self.is_suspect = True
        if silence > self.cfg.lease.target_silence_s:
            self._lose("target lease expired")

    def _take(self, state, expected):
        self._has_untaken_ends = bool(state.ended)
        ended = [item for item in state.ended if item.number > self._acknowledged]
        if ended:
            self._acknowledged = max(item.number for item in ended)
        self._owner.state_taken(ended, state, expected)

    # Takeover.

    async def _adopt_targets(self):
        while True:
            await self._wake_adopt.wait()
            self._wake_adopt = trio.Event()
            while self.target is not None and self.takeover is None:
                target = self.target
                # The target's monotonic clock orders the fencing tokens of successive
                # agents even if the wall clock is set back.
                self._fence = max(self._fence + 1, target.clock_ms)
                takeover = Takeover(target.incarnation_id, self._fence)
                async with contextlib.aclosing(
                    self._driver.open_channel(target, self._fence)
                ) as channel:
                    is_clear = await self._clear(channel)
                if is_clear and self.target and self.target.life == target.life:
                    self._adopt(takeover)
                else:
                    await trio.sleep(self.cfg.adopt_retry)

    async def _clear(self, channel):
        """Stop the runs of earlier agents; return whether the target runs nothing."""
        acknowledged = self._acknowledged
        try:
            while True:
                state = await channel.poll(0.0, acknowledged, renew=False)
                acknowledged = max(
                    [acknowledged, *(ended.number for ended in state.ended)]
                )
                if not state.running and not state.ended:
                    self._acknowledged = acknowledged
                    return True
                for item in state.running:
                    await channel.stop(item.task, item.run)
                await trio.sleep(LOOK_AGAIN_S)
        except TargetSilent as exc:
            log.warning("target not adopted: %s", exc)
        except TargetReplaced:
            log.info("target not adopted: another incarnation answered")
        return False

    def _adopt(self, takeover):
        log.info(
            "target adopted id=%s fence=%d", takeover.incarnation_id, takeover.fence
        )
        self.renewed()
        self.takeover = takeover
        self.has_adopted = True
        self._owner.target_changed()


class ChannelKeeper:
    """Caches one channel to the target of the current takeover."""

    def __init__(self, driver, supervisor):
        self._driver = driver
        self._supervisor = supervisor
        self._takeover = None
        self._channel = None

    async def open(self, takeover):
        """Return the channel of a takeover, after closing that of an earlier one."""
        if takeover != self._takeover:
            if self._channel is not None:
                await self._channel.aclose()
            target = self._supervisor.target
            self._channel = self._driver.open_channel(target, takeover.fence)
            self._takeover = takeover
        return self._channel
