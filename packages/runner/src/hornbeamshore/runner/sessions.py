"""State that an agent keeps for each entry that orders runs from it."""

from hornbeamshore.wire.messages import AgentReport, RunEnd


class Session:
    """Runs and unacknowledged results of one incarnation of an entry.

    A session outlives its connections, so that an entry that reconnects within its
    lease keeps its runs.

    Attributes
    ----------
    runs : dict of int to Run
        Runs that have not ended, by run id.
    ends : dict of int to RunEnd
        Results that the entry has not acknowledged, by run id.
    last_heard : float
        Boot time, in seconds, at or after which the entry has sent the last message or
        opened the last connection.
    last_order_id : int
        Id of the last order received on the current connection.
    last_loss_sent : int
        Sequence number of the last record of a loss of the target that was sent on the
        current connection.
    run_list_sent : bool
        Whether the entry was sent the list of its runs on the current connection.
    report_requested : bool
        Whether the entry is to be sent the state of the agent with the next write.
    """

    def __init__(self, entry_id, incarnation, now):
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.conn = None
        self.runs = {}
        self.ends = {}
        self.last_heard = now
        self.last_order_id = self.last_loss_sent = 0
        self.run_list_sent = self.report_requested = False
        self._unsent_run_ids = set()

    def attach(self, conn):
        """Switch to a new connection and resend all unacknowledged results."""
        self.conn = conn
        self.last_order_id = self.last_loss_sent = 0
        self.run_list_sent = self.report_requested = False
        self._unsent_run_ids = set(self.ends)
        self._update_activity()

    def detach(self, conn):
        """Drop a closed connection, unless a newer one has replaced it."""
        if self.conn is conn:
            self.conn = None
            self.run_list_sent = False

    def add_run(self, run):
        """Add a run that the entry has ordered."""
        self.runs[run.run_id] = run
        self._update_activity()

    def record_end(self, run_id, code, run_state, run_time_s=0.0, detail=""):
        """Record the result of a run until the entry acknowledges it."""
        self.runs.pop(run_id, None)
        self.ends[run_id] = RunEnd(
            run_id, int(code), int(run_state), round(run_time_s * 1e6), detail
        )
        self._unsent_run_ids.add(run_id)
        if self.conn is not None:
            self.conn.request_write()

    def acknowledge(self, run_ids):
        """Discard the results that the entry has acknowledged."""
        for run_id in run_ids:
            self.ends.pop(run_id, None)
            self._unsent_run_ids.discard(run_id)
        self._update_activity()

    def _update_activity(self):
        """Detect the loss of the connection quickly while runs or ends depend on it."""
        if self.conn is not None:
            self.conn.set_active(bool(self.runs or self.ends))

    @property
    def needs_report(self):
        """Return whether a report is to be sent with the next write."""
        return self.run_list_sent and (
            self.report_requested or bool(self._unsent_run_ids)
        )

    def request_report(self):
        """Send the state of the agent to the entry with the next write."""
        if self.conn is not None and self.run_list_sent:
            self.report_requested = True
            self.conn.request_write()

    def make_report(self, state, losses, *, complete=False):
        """Return a report with the state of the agent and the unsent results.

        Parameters
        ----------
        state : RunnerState
            State that is the same for all entries.
        losses : tuple of TargetLoss
            Losses of the target that the entry was not sent yet.
        complete : bool
            Whether the report lists all runs of the session and describes the target.
        """
        ends = tuple(self.ends[run_id] for run_id in sorted(self._unsent_run_ids))
        self._unsent_run_ids.clear()
        self.report_requested = False
        return AgentReport(
            state.accepting,
            state.free,
            self.last_order_id,
            ends,
            complete,
            tuple(self.runs) if complete else (),
            state.description if complete else None,
            losses,
        )
