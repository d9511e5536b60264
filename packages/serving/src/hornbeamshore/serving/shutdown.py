"""Planned stop of a process that serves callers.

The state of the stop is asked whenever a request is taken or waits, so that nothing
that comes in late can pass by the moment at which all work is ended.
"""

import contextlib
import math
from dataclasses import dataclass

import trio

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration

# Interval at which the clock is read during a stop.
CLOCK_CHECK_INTERVAL_S = 0.1
# A time left that is lost in rounding would not let the clock advance.
MIN_SLEEP_S = 0.001
# Interval at which a process notes that it runs.
RUNNING_CHECK_INTERVAL_S = 0.5
# Gap between two of these notes above which the process did not run in between.
SUSPENSION_S = 1.0
# Time after a suspension within which a signal that was sent during it is handled.
RESUMPTION_S = 0.1

log = PartLogger("process")


class AnswersDue(Exception):  # noqa: N818
    """The process is about to end; what was awaited is not waited for any more."""


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Ends of the phases of a planned stop, as times since its signal.

    Attributes
    ----------
    accept_until : Duration
        End of accepting connections. Callers and load balancers that do not know of
        the stop yet still open them, and a closed listener would drop their requests
        unread.
    answer_until : Duration
        Time by which each request must be answered; later ones are refused at once.
    read_until : Duration
        End of reading requests. What was read is answered.
    exit_until : Duration
        Time at which connections are cut whose callers do not take their answers.
    """

    accept_until: Duration = Duration(0.5)
    answer_until: Duration = Duration(65.0)
    read_until: Duration = Duration(65.25)
    exit_until: Duration = Duration(65.5)


class Shutdown:
    """State of the planned stop of a process, from its signal to its exit.

    All times count from the signal, on a clock that includes the time for which the
    host is suspended, since the grace period of the process does so too.

    Parameters
    ----------
    cfg : ShutdownSettings
        Phases of the stop.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    begun : trio.Event
        Set when the stop begins.
    """

    def __init__(self, cfg=None, clock=boot_time_s):
        self.cfg = cfg or ShutdownSettings()
        self.begun = trio.Event()
        self._clock = clock
        self._begun_at = math.inf
        self._running_at = self._suspended_at = clock()
        self._resumed_at = -math.inf
        self._scopes = set()

    def begin(self, signalled_at=None):
        """Begin the stop; later calls have no effect.

        Parameters
        ----------
        signalled_at : float or None
            Time on the clock at which the signal was received. None for a signal that
            is being received now: it counts from the beginning of a suspension that
            has just ended, since it may have been sent then.
        """
        if self.begun.is_set():
            return
        if signalled_at is None:
            self._note_running()
            now = self._clock()
            has_resumed = now - self._resumed_at <= RESUMPTION_S
            signalled_at = self._suspended_at if has_resumed else now
        self._begun_at = signalled_at
        self.begun.set()
        log.info(
            "stop begun signalled_s_ago=%.1f answers_due_s=%.1f",
            self._clock() - signalled_at,
            self.time_left_s,
        )

    @property
    def time_left_s(self):
        """Seconds until answers are due; infinite before the stop."""
        return self._time_until_s(self.cfg.answer_until)

    @property
    def are_answers_due(self):
        """Whether all requests must be answered at once."""
        return self.time_left_s <= 0

    @property
    def retry_after_s(self):
        """Seconds after which a caller that comes again reaches another process."""
        return max(0.0, self._time_until_s(self.cfg.accept_until))

    async def run(self):
        """End all waits when answers are due."""
        while not self.begun.is_set():
            with trio.move_on_after(RUNNING_CHECK_INTERVAL_S):
                await self.begun.wait()
            self._note_running()
        await self.sleep_until(self.cfg.answer_until)
        log.info("answers due waiting=%d", len(self._scopes))
        for scope in self._scopes:
            scope.cancel()

    async def sleep_until(self, offset_s):
        """Wait until a time since the signal; before the stop, wait for it as well."""
        await self.begun.wait()
        # Polls, since timers do not run while the host is suspended.
        while (left_s := self._time_until_s(offset_s)) > 0:  # noqa: ASYNC110
            await trio.sleep(min(max(left_s, MIN_SLEEP_S), CLOCK_CHECK_INTERVAL_S))

    async def run_until(self, offset_s, wait):
        """Call `wait`, but end the call at a time since the signal.

        Returns
        -------
        bool
            Whether the call has returned before that time.
        """
        has_returned = False
        async with trio.open_nursery() as nursery:

            async def end_at_time():
                await self.sleep_until(offset_s)
                nursery.cancel_scope.cancel()

            nursery.start_soon(end_at_time)
            await wait()
            has_returned = True
            nursery.cancel_scope.cancel()
        return has_returned

    @contextlib.contextmanager
    def bounded(self):
        """Return a context manager that ends its block when answers are due.

        Raises
        ------
        AnswersDue
            If answers are due before the block has ended.
        """
        with trio.CancelScope() as scope:
            if self.are_answers_due:
                scope.cancel()
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
        if scope.cancelled_caught:
            raise AnswersDue

    def _time_until_s(self, offset_s):
        return self._begun_at + offset_s - self._clock()

    def _note_running(self):
        now = self._clock()
        if now - self._running_at > SUSPENSION_S:
            self._suspended_at, self._resumed_at = self._running_at, now
        self._running_at = now
