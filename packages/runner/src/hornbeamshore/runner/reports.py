"""Reports of an agent to its connected entries.

An entry gets a report when a run of its own ends, when the agent starts or stops
accepting runs, and in place of heartbeats. The free capacity changes with each run of
each entry; sending it to all of them at once would cost a message for each run and
entry. An entry that orders by outdated figures is refused and told the current ones.
"""

from dataclasses import dataclass

from hornbeamshore.wire.messages import Resources, TargetDescription


@dataclass(frozen=True, slots=True)
class RunnerState:
    """State of the agent and its target that is reported to all entries."""

    description: TargetDescription
    accepting: bool
    free: Resources


class Reporter:
    """Sends reports to the entries.

    Parameters
    ----------
    sessions : dict of str to Session
        Sessions of entries, by entry id.
    state : callable
        Returns the current `RunnerState`, or None while no target is announced.
    losses : LossLog
        Losses of the target.
    clock : callable
        Returns the time in seconds on the clock of the losses.
    """

    def __init__(self, sessions, state, losses, clock):
        self._sessions = sessions
        self._get_state = state
        self._losses = losses
        self._clock = clock
        self._announced = None

    def send_run_list(self, session):
        """Send an entry all its runs; it treats those that are not listed as ended."""
        state = self._get_state()
        if state is None or session.conn is None or session.run_list_sent:
            return
        session.run_list_sent = True
        session.conn.try_send(self._make_report(session, state, complete=True))

    def announce_changes(self):
        """Report to all entries if the target or the acceptance of runs has changed."""
        state = self._get_state()
        if state is None or (state.description, state.accepting) == self._announced:
            return
        is_redescribed = (
            self._announced is not None and self._announced[0] != state.description
        )
        self._announced = state.description, state.accepting
        for session in self._sessions.values():
            if is_redescribed and session.run_list_sent:
                session.run_list_sent = False
                self.send_run_list(session)
            else:
                session.request_report()

    def send_pending(self, session):
        """Send an entry the report that was requested, if any."""
        state = self._get_state() if session.needs_report else None
        if state is not None and session.conn is not None:
            session.conn.try_send(self._make_report(session, state))

    def heartbeat(self, session):
        """Return the report to send as a heartbeat, or None if there is none yet."""
        state = self._get_state() if session.run_list_sent else None
        return None if state is None else self._make_report(session, state)

    def _make_report(self, session, state, *, complete=False):
        losses = self._losses.after(session.last_loss_sent, self._clock())
        session.last_loss_sent = self._losses.last_sequence
        return session.make_report(state, losses, complete=complete)
