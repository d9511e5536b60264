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
    """Sends results to entries at once, and changes of the state at a limited rate.

    Parameters
    ----------
    min_interval_s : float
        Shortest time, in seconds, between reports of a changed state.
    sessions : dict of str to Session
        Sessions of entries, by entry id.
    state : callable
        Returns the current `RunnerState`, or None while no target is announced.
    """

    def __init__(self, min_interval_s, sessions, state):
        self._min_interval_s = min_interval_s
        self._sessions = sessions
        self._get_state = state
        self._change_event = trio.Event()

    def notify_changed(self):
        """Schedule a report, because a run has ended or the state may have changed."""
        self._change_event.set()

    def send_run_list(self, session):
        """Send an entry all its runs; it treats those that are not listed as ended."""
        state = self._get_state()
        if state is None or session.conn is None or session.run_list_sent:
            return
        session.send_report(state, complete=True)

    async def run(self):
        """Send reports until cancelled."""
        reported = None
        due_at = trio.current_time()
        while True:
            await self._change_event.wait()
            self._change_event = trio.Event()
            state = self._get_state()
            if state is None:
                continue
            is_due = state != reported and trio.current_time() >= due_at
            for session in self._sessions.values():
                if session.run_list_sent and (session.has_unsent_ends or is_due):
                    session.send_report(state)
            if is_due:
                reported, due_at = state, trio.current_time() + self._min_interval_s
            elif state != reported:
                with trio.move_on_at(due_at):
                    await self._change_event.wait()
                self._change_event.set()
