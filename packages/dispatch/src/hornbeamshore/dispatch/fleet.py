"""State of the agents, as known to an entry."""

from collections import deque

from hornbeamshore.wire.messages import Resources


class AgentView:
    """State of one agent, as known to this entry.

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
    report : AgentReport or None
        Last report on the current connection; None until the first one.
    runs : dict of int to Run
        Runs ordered from this agent that have not ended, by run id.
    inherited_run_ids : set of int
        Ids of runs that were ordered from an earlier incarnation of the agent.
    disconnected_at : float
        Time on the coordinator's clock at which the last connection closed.
    is_reconciled : bool
        Whether the agent has sent a complete list of its runs on the current
        connection.
    """

    def __init__(self, agent_id, incarnation, data_centre):
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.conn = None
        self.report = None
        self.runs = {}
        self.inherited_run_ids = set()
        self.disconnected_at = 0.0
        self.is_reconciled = False
        self._unconfirmed = deque()
        self._reserved = Resources()

    @property
    def is_usable(self):
        """Whether runs can be ordered from the agent."""
        return self.conn is not None and self.is_reconciled and self.report.accepting

    @property
    def free(self):
        """Free capacity in the last report less the runs that it does not count yet."""
        return self.report.free - self._reserved

    @property
    def load(self):
        """Fraction of the processor capacity in use, from 0 to 1."""
        capacity = self.report.capacity.cpu_millis
        return 1.0 - self.free.cpu_millis / capacity if capacity else 1.0

    def attach_connection(self, conn):
        """Replace the connection by a new one, on which no report was received yet."""
        self.conn = conn
        self.report = None
        self.is_reconciled = False
        self._unconfirmed.clear()
        self._reserved = Resources()

    def detach_connection(self, now):
        """Clear the state of the connection after it has closed at time `now`."""
        self.conn = self.report = None
        self.is_reconciled = False
        self.disconnected_at = now

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

    def reserve(self, needs):
        """Reserve the resources of a run that is about to be ordered."""
        self._reserved += needs

    def record_order(self, message_id, needs, run_ids):
        """Record the message that ordered runs, to match it with later reports.

        Parameters
        ----------
        message_id : int
            Id of the message.
        needs : Resources
            Total resources of the runs, which `reserve` has reserved.
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
        self.report = report
        self.is_reconciled |= report.complete
        while self._unconfirmed and self._unconfirmed[0][0] <= report.received:
            self._reserved -= self._unconfirmed.popleft()[1]


class Fleet:
    """Agents of all services.

    Attributes
    ----------
    agents : dict of str to AgentView
        Views of the agents, by agent id.
    """

    def __init__(self):
        self.agents = {}

    def connect(self, conn):
        """Attach a new connection to the view of its agent.

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
            previous.attach_connection(conn)
            return previous, None
        view = AgentView(peer.process_id, peer.incarnation, peer.data_centre)
        view.attach_connection(conn)
        self.agents[peer.process_id] = view
        return view, previous

    def usable_agents(self, service):
        """Return the agents of a service from which runs can be ordered."""
        return [
            view
            for view in self.agents.values()
            if view.is_usable and view.report.service == service
        ]
