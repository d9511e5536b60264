"""What an entry knows of the agents that are connected to it."""

from collections import deque

from hornbeamshore.wire.messages import Resources


class AgentView:
    """One agent as this entry sees it.

    Attributes
    ----------
    conn : Connection or None
        Present connection; None while there is none.
    report : AgentReport or None
        Last report; None until the first one of the present connection.
    is_reconciled : bool
        Whether the agent has listed its runs on the present connection.
    runs : dict of int to Run
        Runs ordered from this agent that have not ended.
    inherited : set of int
        Runs that were ordered from an earlier life of the agent.
    lost_at : float
        Boot time at which the last connection ended.
    """

    def __init__(self, agent_id, incarnation, data_centre):
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.conn = None
        self.report = None
        self.runs = {}
        self.inherited = set()
        self.lost_at = 0.0
        self.is_reconciled = False
        self._unreported = deque()
        self._reserved = Resources()

    @property
    def is_usable(self):
        """Return whether the agent takes runs."""
        return self.conn is not None and self.is_reconciled and self.report.accepting

    @property
    def free(self):
        """Return the free capacity less what was ordered since the last report."""
        return self.report.free - self._reserved

    @property
    def load(self):
        """Return the share of the processors that is taken."""
        capacity = self.report.capacity.cpu_millis
        return 1.0 - self.free.cpu_millis / capacity if capacity else 1.0

    def connected(self, conn):
        """Use a new connection, whose first report is to come."""
        self.conn = conn
        self.report = None
        self.is_reconciled = False
        self._unreported.clear()
        self._reserved = Resources()

    def disconnected(self, now):
        """Note that the connection ended."""
        self.conn = self.report = None
        self.is_reconciled = False
        self.lost_at = now

    def inherit(self, earlier, now):
        """Take over the runs of an earlier life of the agent."""
        self.runs = earlier.runs
        self.inherited = set(earlier.runs)
        self.lost_at = now if earlier.conn is not None else earlier.lost_at

    def reserve(self, needs):
        """Count resources that are about to be ordered."""
        self._reserved += needs

    def ordered(self, message_id, needs, run_ids):
        """Note which message ordered runs, whose resources `reserve` has counted."""
        self._unreported.append((message_id, needs, run_ids))

    def is_on_the_way(self, run_id):
        """Return whether the last report may have been sent before an order."""
        return any(run_id in run_ids for _, _, run_ids in self._unreported)

    def take_report(self, report):
        """Use a newer report, which counts the orders that it says it received."""
        self.report = report
        self.is_reconciled |= report.complete
        while self._unreported and self._unreported[0][0] <= report.received:
            self._reserved -= self._unreported.popleft()[1]


class Fleet:
    """The agents of all services, by agent id."""

    def __init__(self):
        self.agents = {}

    def connect(self, conn):
        """Return the view of the agent behind a connection, and the one it replaces.

        Returns
        -------
        view : AgentView
        replaced : AgentView or None
            View of an earlier life of the agent.
        """
        peer = conn.peer
        known = self.agents.get(peer.process_id)
        if known is not None and known.incarnation == peer.incarnation:
            known.connected(conn)
            return known, None
        view = AgentView(peer.process_id, peer.incarnation, peer.data_centre)
        view.connected(conn)
        self.agents[peer.process_id] = view
        return view, known

    def usable(self, service):
        """Return the agents of a service that take runs."""
        return [
            view
            for view in self.agents.values()
            if view.is_usable and view.report.service == service
        ]
