"""Reports of an agent to its connected entries."""

from dataclasses import dataclass

import trio

from hornbeamshore.wire.messages import Resources


@dataclass(frozen=True, slots=True)
class RunnerState:
    """State of the agent and its target that is reported to all entries."""

    target: str
    service: str
    labels: tuple[str, ...]
    accepting: bool
    capacity: Resources
    free: Resources


class Reporter:
    """Reports results at once, and batches changes of the state.

    Parameters
    ----------
    pause : float
        Shortest time, in seconds, between reports of a changed state.
    sessions : dict of str to Session
        Sessions of entries, by entry id.
    state : callable
        Returns the current `RunnerState`, or None while no target is announced.
    """

    def __init__(self, pause, sessions, state):
        self._pause = pause
        self._sessions = sessions
        self._state = state
        self._wake = trio.Event()

    def changed(self):
        """Schedule a report, because a run has ended or the state may have changed."""
        self._wake.set()

    def list_runs(self, session):
        """Send an entry all its runs; it treats those that are not listed as ended."""
        state = self._state()
        if state is None or session.conn is None or session.is_listed:
            return
        session.report(state, complete=True)

    async def run(self):
        """Send reports until cancelled."""
        told = None
        due = trio.current_time()
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            state = self._state()
            if state is None:
                continue
            is_due = state != told and trio.current_time() >= due
            for session in self._sessions.values():
                if session.is_listed and (session.has_news or is_due):
                    session.report(state)
            if is_due:
                told, due = state, trio.current_time() + self._pause
            elif state != told:
                with trio.move_on_at(due):
                    await self._wake.wait()
                self._wake.set()
