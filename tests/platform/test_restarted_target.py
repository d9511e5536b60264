"""A target that starts again under its id while its agent knows the earlier life."""

from dataclasses import replace

import pytest
import trio

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.settings import Duration
from hornbeamshore.platform.target import HttpTargetDriver
from hornbeamshore.runner.metrics import RunnerMetrics
from hornbeamshore.runner.runner import Runner
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.runner.target import TargetIncarnation
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.leases import LeaseSettings
from hornbeamshore.wire.messages import Resources, RunOrder, RunTasks

from .fake_platform import FakeTarget
from .scripted_http import serving

CAPACITY = Resources(8000, 4096, 0)
# The clock of the earlier life is ahead of that of the new one, as after a long time.
EARLIER = TargetIncarnation("i-1", 1000, 7, "s", (), CAPACITY, False, 500_000)
CURRENT = replace(EARLIER, started_ms=2000, sequence=1, clock_ms=1000)
# No lease and no timeout ends in a test, however slow the machine is.
CFG = RunnerSettings(
    lease=LeaseSettings(entry_lease=Duration(600.0), target_lease=Duration(600.0)),
    call_timeout=Duration(600.0),
)


class RecordingConnection:
    """Connection to an entry that records the reports."""

    def __init__(self):
        self.peer = Identity("test", "entry", "entry-1", 1, "perth")
        self.sent_at = boot_time_s()
        self.closed_by_peer = False
        self.reports = []

    def set_active(self, is_active):
        pass

    def request_write(self):
        pass

    def try_send(self, body):
        self.reports.append(body)
        return True


class RestartedTarget(FakeTarget):
    """Target in its second life, which refuses calls with a lower fencing token."""

    RUN_DURATION_S = 600.0

    def __init__(self):
        super().__init__(born=CURRENT.started_ms)
        self.fencing_token = 0
        self.answers = 0

    async def answer(self, path, body):
        self.answers += 1
        if body["fencingToken"] < self.fencing_token:
            return 409, {"clockMs": self.clock_ms, "reason": "fence"}
        self.fencing_token = body["fencingToken"]
        return await super().answer(path, body)


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await trio.sleep(0.005)


@pytest.mark.parametrize(
    "announced",
    [(EARLIER, CURRENT), (CURRENT, EARLIER), (EARLIER, CURRENT, EARLIER)],
    ids=["earlier life first", "earlier life last", "earlier life again"],
)
async def test_runs_of_the_current_life_are_kept(nursery, announced):
    """Guards against runs reported as lost with an earlier life that work on.

    A delayed announcement of the earlier life arrives between those of the current one;
    calls to the id reach the current life in any case.
    """
    target = RestartedTarget()
    async with serving(target) as address:
        runner = Runner(CFG, HttpTargetDriver(address, CFG), RunnerMetrics())
        nursery.start_soon(runner.run)
        session = runner.attach(RecordingConnection())
        run_id = 0
        for incarnation in announced:
            answers = target.answers
            runner.supervisor.handle_announcement(incarnation)
            if incarnation is CURRENT:
                await wait_until(lambda: session.ends or runner.state().accepting)
            elif not target.running:
                await wait_until(lambda: target.answers > answers)  # noqa: B023
            await trio.sleep(0.2)
            if runner.state().accepting:
                run_id += 1
                order = RunOrder(run_id, 0, run_id, 1, Resources(100, 1, 0))
                runner.order_runs(
                    session, 1, RunTasks("j1", "content", (order,)), runner.clock()
                )
                await wait_until(lambda: len(target.starts) == run_id)  # noqa: B023
        assert session.ends == {}
        assert len(session.runs) == len(target.running) == run_id > 0
        nursery.cancel_scope.cancel()
