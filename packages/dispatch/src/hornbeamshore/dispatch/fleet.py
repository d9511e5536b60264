"""State of the agents, as known to an entry."""

from collections import deque

from hornbeamshore.dispatch.capacity import CapacityIndex
from hornbeamshore.wire.messages import Resources


class AgentView:
    """State of one agent, as known to this entry.

    Parameters
    ----------
    peer : Identity
        Identity of the agent process.
    index : CapacityIndex
        Index that is updated when the agent changes.

    Attributes
    ----------
    agent_id : str
        Id of the agent.
    incarnation : int
        Incarnation of the agent process; changes when the process restarts.
    data_centre : str
        Data centre of the agent.
    conn : Connection or None
        Current connection; None while the agent is disconnected.
    description : TargetDescription or None
        Properties of the target; None until the first report on the connection.
    accepting : bool
        Whether the agent accepted runs in its last report.
    free : Resources
        Free capacity in the last report less the runs that it does not count yet.
    runs : dict of int to Run
        Runs ordered from this agent that have not ended, by run id.
    inherited_run_ids : set of int
        Ids of runs that were ordered from an earlier incarnation of the agent.
    unacknowledged_run_ids : list of int
        Ids of ended runs whose results are to be acknowledged with the next write.
    disconnected_at : float
        Time on the coordinator's clock at which the last connection closed.
    is_reconciled : bool
        Whether the agent has sent a complete list of its runs on the current
        connection.
    """

    def __init__(self, peer, index):
        self.agent_id = peer.process_id
        self.incarnation = peer.incarnation
        self.data_centre = peer.data_centre
        self.conn = None
        self.runs = {}
        self.inherited_run_ids = set()
        self.disconnected_at = 0.0
        self._index = index
        self._unconfirmed = deque()
        self._clear_connection_state()

    def _clear_connection_state(self):
        self.description = None
        self.accepting = self.is_reconciled = False
        self.free = self._reported_free = self._reserved = Resources()
        self.unacknowledged_run_ids = []

    @property
    def is_usable(self):
        """Whether runs can be ordered from the agent."""
        return (
            self.is_reconciled
            and self.accepting
            and self.description is not None
            and self.conn is not None
        )

    @property
    def load(self):
        """Fraction of the processor capacity in use, from 0 to 1."""
        capacity = self.description.capacity.cpu_millis
        return 1.0 - self.free.cpu_millis / capacity if capacity else 1.0

    def attach_connection(self, conn, now):
        """Replace the connection by a new one, on which no report was received yet.

        The time without a complete report counts from the end of the last connection,
        or from time `now` if that was not noticed.
        """
        if self.conn is not None:
            self.disconnected_at = now
        self.conn = conn
        self._clear_connection_state()
        self._unconfirmed.clear()
        self._index.update(self)
        self.update_activity()

    def detach_connection(self, now):
        """Clear the state of the connection after it has closed at time `now`."""
        self.conn = None
        self._clear_connection_state()
        self.disconnected_at = now
        self._index.update(self)

    def inherit_runs(self, earlier, now):
        """Take over the runs of an earlier incarnation of the agent.

        Parameters
        ----------
        earlier : AgentView
            View of the earlier incarnation.
        now : float
            Time on the coordinator's clock.
        """
        self.runs = earlier.runs
        self.inherited_run_ids = set(earlier.runs)
        self.disconnected_at = (
            now if earlier.conn is not None else earlier.disconnected_at
        )
        earlier.conn = None
        self._index.update(earlier)
        self.update_activity()

    def add_run(self, run):
        """Add a run that is about to be ordered and reserve its resources."""
        self.runs[run.run_id] = run
        self._reserved += run.task.step_spec.needs
        self._update_free()
        self.update_activity()

    def update_activity(self):
        """Detect the loss of the connection quickly while runs or acks depend on it."""
        if self.conn is not None:
            self.conn.set_active(bool(self.runs or self.unacknowledged_run_ids))

    def record_order(self, message_id, needs, run_ids):
        """Record the message that ordered runs, to match it with later reports.

        Parameters
        ----------
        message_id : int
            Id of the message.
        needs : Resources
            Total resources of the runs, which `add_run` has reserved.
        run_ids : set of int
            Ids of the runs.
        """
        self._unconfirmed.append((message_id, needs, run_ids))

    def is_order_unconfirmed(self, run_id):
        """Return whether the last report may predate the order of a run."""
        return any(run_id in run_ids for _, _, run_ids in self._unconfirmed)

    def apply_report(self, report):
        """Apply a report and release the reservations that it already includes.

        A report includes the orders up to the message id in its field `received`.
        """
        if report.description is not None:
            self.description = report.description
        self.accepting = report.accepting
        self._reported_free = report.free
        self.is_reconciled |= report.complete
        while self._unconfirmed and self._unconfirmed[0][0] <= report.received:
            self._reserved -= self._unconfirmed.popleft()[1]
        self._update_free()

    def _update_free(self):
        self.free = self._reported_free - self._reserved
        self._index.update(self)


class Fleet:
    """Agents of all services.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.

    Attributes
    ----------
    agents : dict of str to AgentView
        Views of the agents, by agent id.
    index : CapacityIndex
        Agents from which runs can be ordered.
    """

    def __init__(self, data_centre=""):
        self.agents = {}
        self.index = CapacityIndex(data_centre)

    def connect(self, conn, now):
        """Attach a new connection to the view of its agent.

        Parameters
        ----------
        conn : Connection
            Connection to the agent.
        now : float
            Time on the coordinator's clock.

        Returns
        -------
        view : AgentView
            View of the connected agent.
        replaced : AgentView or None
            View of an earlier incarnation that `view` replaces.
        """
        peer = conn.peer
        previous = self.agents.get(peer.process_id)
        if previous is not None and previous.incarnation == peer.incarnation:
            previous.attach_connection(conn, now)
            return previous, None
        view = AgentView(peer, self.index)
        view.attach_connection(conn, now)
        self.agents[peer.process_id] = view
        return view, previous

    def usable_agents(self, service):
        """Return the `ServiceAgents` from which runs can be ordered."""
        return self.index.service(service)
