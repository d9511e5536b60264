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
        Boot time, in seconds, at which the last message or connection of the entry was
        detected.
    last_order_id : int
        Id of the last order received on the current connection.
    run_list_sent : bool
        Whether the entry was sent the list of its runs on the current connection.
    """

    def __init__(self, entry_id, incarnation, clock):
        self.entry_id = entry_id
        self._clock = clock
        self.incarnation = incarnation
        self.conn = None
        self.runs = {}
        self.ends = {}
        self.last_heard = self._clock()
        self.last_order_id = 0
        self.run_list_sent = False
        self._conn_last_received_at = 0.0
        self._unsent_run_ids = set()

    def attach(self, conn):
        """Switch to a new connection and resend all unacknowledged results."""
        self.conn = conn
        self.last_order_id = 0
        self.last_heard = self._clock()
        self.run_list_sent = False
        self._unsent_run_ids = set(self.ends)

    def refresh_last_heard(self, now):
        """Renew the lease of the entry if a message arrived since the last call.

        The lease starts at `now` rather than at the receive time of the message, since
        the clock of the connection stops while the host is suspended.
        """
        if (
            self.conn is not None
            and self.conn.last_received_at != self._conn_last_received_at
        ):
            self._conn_last_received_at = self.conn.last_received_at
            self.last_heard = now

    def detach(self, conn):
        """Drop a closed connection, unless a newer one has replaced it."""
        if self.conn is conn:
            self.conn = None
            self.run_list_sent = False

    def record_end(self, run_id, code, run_state, run_time_s=0.0, detail=""):
        """Record the result of a run until the entry acknowledges it."""
        self.runs.pop(run_id, None)
        self.ends[run_id] = RunEnd(
            run_id, int(code), int(run_state), round(run_time_s * 1e6), detail
        )
        self._unsent_run_ids.add(run_id)

    def acknowledge(self, run_ids):
        """Discard the results that the entry has acknowledged."""
        for run_id in run_ids:
            self.ends.pop(run_id, None)
            self._unsent_run_ids.discard(run_id)

    @property
    def is_busy(self):
        """Return whether runs are left, or results for a connected entry."""
        return bool(self.runs) or (self.conn is not None and bool(self.ends))

    @property
    def has_unsent_ends(self):
        """Return whether any result was not yet sent on the current connection."""
        return bool(self._unsent_run_ids)

    def send_report(self, state, *, complete=False):
        """Send the state of the agent and the unsent results.

        Parameters
        ----------
        state : RunnerState
            State that is the same for all entries.
        complete : bool
            Whether the report lists all runs of the session.
        """
        ends = tuple(self.ends[run_id] for run_id in sorted(self._unsent_run_ids))
        self._unsent_run_ids.clear()
        self.run_list_sent |= complete
        self.conn.try_send(
            AgentReport(
                state.target,
                state.service,
                state.labels,
                state.accepting,
                state.capacity,
                state.free,
                self.last_order_id,
                ends,
                complete,
                tuple(self.runs) if complete else (),
            )
        )
