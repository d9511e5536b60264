"""What an agent keeps for each entry that orders runs from it."""

from hornbeamshore.wire.messages import AgentReport, RunEnd


class Session:
    """Runs and untaken ends of one life of an entry.

    A session outlives its connections: an entry that reconnects within its lease
    finds its runs as they were.

    Attributes
    ----------
    runs : dict of int to Run
        Runs that have not ended, by run id.
    ends : dict of int to RunEnd
        Ends that the entry has not acknowledged.
    last_heard : float
        Boot time of the last message of the entry.
    is_listed : bool
        Whether the entry was sent the list of its runs on the present connection.
    """

    def __init__(self, entry_id, incarnation, clock):
        self.entry_id = entry_id
        self._clock = clock
        self.incarnation = incarnation
        self.conn = None
        self.runs = {}
        self.ends = {}
        self.last_heard = self._clock()
        self.received = 0
        self.is_listed = False
        self._conn_heard = 0.0
        self._unsent = set()

    def attach(self, conn):
        """Use a new connection; all that is not acknowledged is sent again."""
        self.conn = conn
        self.received = 0
        self.last_heard = self._clock()
        self.is_listed = False
        self._unsent = set(self.ends)

    def note_heard(self, now):
        """Renew the lease of the entry if a message came since the last look.

        A look, not the time that the connection noted: that clock stands still while
        the host is suspended.
        """
        if self.conn is not None and self.conn.last_heard != self._conn_heard:
            self._conn_heard = self.conn.last_heard
            self.last_heard = now

    def detach(self, conn):
        """Forget a connection that ended."""
        if self.conn is conn:
            self.conn = None
            self.is_listed = False

    def end(self, run_id, code, run_state, run_time_s=0.0, detail=""):
        """Record the end of a run."""
        self.runs.pop(run_id, None)
        self.ends[run_id] = RunEnd(
            run_id, int(code), int(run_state), round(run_time_s * 1e6), detail
        )
        self._unsent.add(run_id)

    def acknowledge(self, run_ids):
        """Forget ends that the entry has taken."""
        for run_id in run_ids:
            self.ends.pop(run_id, None)
            self._unsent.discard(run_id)

    @property
    def is_busy(self):
        """Return whether a run is present, or an end not taken by a connected entry."""
        return bool(self.runs) or (self.conn is not None and bool(self.ends))

    @property
    def has_news(self):
        """Return whether an end was not sent on the present connection."""
        return bool(self._unsent)

    def report(self, state, *, complete=False):
        """Send the state of the agent and the unsent ends.

        Parameters
        ----------
        state : RunnerState
            Fields that all entries are told.
        complete : bool
            Whether the report lists all runs of this session.
        """
        ends = tuple(self.ends[run_id] for run_id in sorted(self._unsent))
        self._unsent.clear()
        self.is_listed |= complete
        self.conn.try_send(
            AgentReport(
                state.target,
                state.service,
                state.labels,
                state.accepting,
                state.capacity,
                state.free,
                self.received,
                ends,
                complete,
                tuple(self.runs) if complete else (),
            )
        )
