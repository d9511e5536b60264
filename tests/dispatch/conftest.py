"""Fixtures with a coordinator and fake agents for the tests of dispatch."""

import itertools

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration
from hornbeamshore.dispatch import coordinator as coordinator_module
from hornbeamshore.dispatch.coordinator import Coordinator
from hornbeamshore.dispatch.metrics import DispatchMetrics
from hornbeamshore.dispatch.model import JobSpec, Queue, Step
from hornbeamshore.dispatch.presence import CallerPresence
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.serving.shutdown import Shutdown, ShutdownSettings
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import (
    AgentReport,
    LostRun,
    Message,
    Resources,
    RunEnd,
    RunTasks,
    StopRuns,
    TargetDescription,
    TargetLoss,
)

CAPACITY = Resources(8000, 4096, 0)
NEEDS = Resources(2000, 64, 0)
QUEUE = Queue(
    "check",
    "desk",
    "/c/",
    "order-desk",
    max_failed_runs=2,
    stretch=1.6,
    objective_s=0.06,
)
SHUTDOWN = ShutdownSettings(
    accept_until=Duration(2.3),
    answer_until=Duration(5.0),
    read_until=Duration(5.25),
    exit_until=Duration(5.5),
)


class FakeAgent:
    """Connection to an agent that records messages and ends runs on request.

    Attributes
    ----------
    decided_at : float or None
        Time from which the age of the last order counts.
    """

    def __init__(self, coordinator, agent_id, incarnation=1, data_centre="perth"):
        self.peer = Identity("test", "agent", agent_id, incarnation, data_centre)
        self.is_open = self.is_active = True
        self.last_received_at = trio.current_time()
        self.sent = []
        self.decided_at = None
        self._ids = itertools.count(1)
        self._coordinator = coordinator
        self._last_message_id = self.loss_count = 0
        self.is_accepting = True
        self.labels = ("a", "r1")
        coordinator.opened(self)

    def send(self, body, decided_at=None):
        self.sent.append(body)
        message_id = next(self._ids)
        if isinstance(body, RunTasks):
            self.decided_at = decided_at
            self._last_message_id = message_id
        return message_id

    def set_active(self, is_active):
        self.is_active = is_active

    @property
    def orders(self):
        """Orders received since the last call of `end_runs`, by run id."""
        return {
            order.run_id: order
            for body in self.sent
            if isinstance(body, RunTasks)
            for order in body.orders
        }

    @property
    def stopped_run_ids(self):
        """Ids of the runs to stop that were received since the last `end_runs`."""
        bodies = [body for body in self.sent if isinstance(body, StopRuns)]
        return [run_id for body in bodies for run_id in body.run_ids]

    def report(self, *ends, free=CAPACITY, held=None, losses=()):
        """Send a report.

        Parameters
        ----------
        ends : RunEnd
            Ended runs.
        free : Resources
            Free capacity.
        held : tuple of int or None
            Ids of the runs that the agent holds, which makes the report complete; None
            for an incomplete report.
        losses : tuple of TargetLoss
            Losses of the target.
        """
        self.last_received_at = trio.current_time()
        description = TargetDescription("t-1", "order-desk", self.labels, CAPACITY)
        body = AgentReport(
            self.is_accepting,
            free,
            self._last_message_id,
            ends,
            held is not None,
            held or (),
            description if held is not None else None,
            losses,
        )
        self._coordinator.handle(self, Message(1, 0, body))

    def end_runs(self, code=ResultCode.OK, run_state=RunState.RAN, run_time_s=0.1):
        """Report all ordered runs as ended and clear the recorded messages."""
        ends = [
            RunEnd(run_id, int(code), int(run_state), round(run_time_s * 1e6))
            for run_id in self.orders
        ]
        self.sent.clear()
        self.report(*ends)

    def lose_target(self, age_ms=1, crashed=True):
        """Report all ordered runs as lost with the target; return the `TargetLoss`."""
        runs = tuple(
            LostRun(
                body.job_id, order.step, order.index, body.queue, age_ms, order.isolated
            )
            for body in self.sent
            if isinstance(body, RunTasks)
            for order in body.orders
        )
        self.loss_count += 1
        loss = TargetLoss(self.loss_count, crashed, 0, runs)
        ends = [
            RunEnd(run_id, int(ResultCode.OUTCOME_UNKNOWN), int(RunState.UNKNOWN))
            for run_id in self.orders
        ]
        self.sent.clear()
        self.report(*ends, losses=(loss,))
        return loss

    def disconnect(self):
        self.is_open = False
        self._coordinator.closed(self)


def make_job(count=2, job_id="j1", estimate_s=0.1, **changes):
    """Return a job with one step; `changes` override fields of the step."""
    return JobSpec(job_id, "content", (Step(count, NEEDS, estimate_s, **changes),))


class Submission:
    """Submission of a job in a background task.

    Attributes
    ----------
    outcome : JobOutcome or None
        Outcome; None until the job is answered.
    scope : trio.CancelScope
        Cancels the submission, as a disconnect of the caller does.
    """

    def __init__(
        self, nursery, coordinator, spec, queue=QUEUE, deadline_s=10.0, caller=None
    ):
        self.outcome = None
        self.scope = trio.CancelScope()
        nursery.start_soon(self._run, coordinator, spec, queue, deadline_s, caller)

    async def _run(self, coordinator, *submission):
        with self.scope:
            self.outcome = await coordinator.submit(*submission)


class FakePresence(CallerPresence):
    """Presence of callers as the test sets it.

    Attributes
    ----------
    departed_callers : set
        Callers that have closed their connections.
    after_look : callable
        Called after the state of the connections was read.
    """

    def __init__(self):
        self.departed_callers = set()
        self.after_look = lambda: None

    def departed(self, callers):
        departed = self.departed_callers & set(callers)
        self.after_look()
        return departed


@pytest.fixture(autouse=True)
def own_rate_limit(monkeypatch):
    """Give each test a log whose lines are not dropped for those of other tests."""
    monkeypatch.setattr(coordinator_module, "log", PartLogger("entry"))


@pytest.fixture
def presence():
    return FakePresence()


@pytest.fixture
async def shutdown(autojump_clock):
    return Shutdown(SHUTDOWN, trio.current_time)


@pytest.fixture
async def coordinator(autojump_clock, nursery, presence, shutdown):
    coordinator = Coordinator(
        DispatchSettings("perth"),
        DispatchMetrics(),
        trio.current_time,
        presence,
        shutdown,
    )
    nursery.start_soon(coordinator.run)
    nursery.start_soon(shutdown.run)
    return coordinator


@pytest.fixture
def agent(coordinator):
    agent = FakeAgent(coordinator, "agent-1")
    agent.report(held=())
    return agent
