"""An agent that is suspended between any two steps of its calls to a target.

The agent and its HTTP client are the real ones; the clock is moved in place of time.
"""

import json
import pathlib
import random
import sys
from dataclasses import dataclass
from types import SimpleNamespace

import pytest
import trio

from hornbeamshore.base.codes import RunState
from hornbeamshore.base.settings import Duration
from hornbeamshore.platform import http_connection
from hornbeamshore.platform import target as platform_target
from hornbeamshore.runner import runner as agent_runner
from hornbeamshore.runner.metrics import RunnerMetrics
from hornbeamshore.runner.runner import Runner
from hornbeamshore.runner.settings import RunnerSettings
from tests.clocks import SuspendableClock
from tests.runner.conftest import TARGET, FakeConnection, attached, order_tasks

MAX_HOLD_S = 1.0
PERCENT_PER_S = 10
# Polls and the checks of leases, each 0.1 s, are not in step.
CFG = RunnerSettings(poll_wait=Duration(0.07))
# The lines of code between which the agent is suspended.
TRACED_FOLDER = str(pathlib.Path(agent_runner.__file__).parent)
TRACED_FILES = (platform_target.__file__, http_connection.__file__)
# Each scenario takes more steps than the first, and fewer than the second number.
MIN_STEPS, MAX_STEPS = 30, 5000
# Time in which the agent takes the steps.
STEPS_S = 0.08
AGAIN_SUSPENDED_S = 3.2
# The entry counts the silence of the agent from the end of the connection.
GIVEN_UP_S = CFG.lease.agent_stop_bound_s


class SimulatedTarget:
    """Target that executes the calls of its agent, whether the agent goes on or not.

    Parameters
    ----------
    clock : SuspendableClock
        Clock of the test; the target is not suspended.
    rate : float
        Rate of the target's own clock.

    Attributes
    ----------
    runs : dict
        Start and end of each run, by task and number; the end is None until the run
        was stopped or its lease has expired.
    after_call : callable
        Called when a call was executed, before the agent receives the answer.
    refuses_first_number : bool
        Whether starts with the run number 1 are refused as stale.
    """

    def __init__(self, clock, rate=1.0):
        self.runs = {}
        self.after_call = lambda: None
        self.refuses_first_number = False
        self._clock = clock
        self._rate = rate
        self._lease_end = 0.0

    @property
    def clock_ms(self):
        return TARGET.clock_ms + int(self._clock() * self._rate * 1000)

    async def accept(self, host, port):
        await trio.lowlevel.checkpoint()
        return TargetStream(self)

    def execute(self, call, body):
        """Return the status and the body of the answer to a call."""
        self.expire_runs()
        status, answer = getattr(self, f"_{call.replace('-', '_')}")(body)
        self.after_call()
        return status, answer

    def expire_runs(self):
        for key, (started_at, ended_at) in self.runs.items():
            if ended_at is None and self._clock() > self._lease_end:
                self.runs[key] = started_at, self._lease_end

    def _take_lease(self, body):
        granted_s = (body.get("expiresAtMs", 0) - self.clock_ms) / 1000
        lease_end = self._clock() + min(granted_s, MAX_HOLD_S) / self._rate
        self._lease_end = max(self._lease_end, lease_end)

    def _run_start(self, body):
        if body["expiresAtMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self._take_lease(body)
        if self.refuses_first_number and body["runId"] == 1:
            return 409, {"reason": "old"}
        self.runs[body["task"], body["runId"]] = self._clock(), None
        return 200, {}

    def _run_stop(self, body):
        key = body["task"], body["runId"]
        if key in self.runs and self.runs[key][1] is None:
            self.runs[key] = self.runs[key][0], self._clock()
        return 200, {}

    def _hold(self, body):
        self._take_lease(body)
        running = [
            [*key, "", (self._clock() - started_at) * PERCENT_PER_S]
            for key, (started_at, ended_at) in self.runs.items()
            if ended_at is None
        ]
        return 200, {"running": running, "completions": []}


class TargetStream(trio.abc.Stream):
    """Connection to a `SimulatedTarget`, which executes a call when it is written."""

    def __init__(self, target):
        self.socket = SimpleNamespace(is_readable=lambda: False)
        self._target = target
        self._answer = None
        self._answered_at = 0.0

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        head, _, content = data.partition(b"\r\n\r\n")
        call = head.split()[1].decode().rpartition("/")[2]
        body = json.loads(content)
        self._answer = self._target.execute(call, body)
        self._answered_at = trio.current_time() + body.get("waitMs", 0) / 1000

    async def receive_some(self, max_bytes=None):
        await trio.sleep_until(self._answered_at)
        status, fields = self._answer
        fields = {"clockMs": self._target.clock_ms, **fields}
        text = json.dumps(fields).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n"
        return head.encode() + text

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        await trio.lowlevel.checkpoint()


@pytest.fixture(autouse=True)
def seeded_scheduler(monkeypatch):
    """Make the order in which Trio runs ready tasks the same in each run."""
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio._core._run, "_r", random.Random(1))


class SuspendAtStep:
    """Moves the clock when the agent has executed a number of lines of its code."""

    def __init__(self, clock, step, suspended_s):
        self.is_reached = False
        self._clock = clock
        self._steps_left = step
        self._suspended_s = suspended_s

    def __enter__(self):
        self._outer = sys.gettrace()
        sys.settrace(self._trace_call)

    def __exit__(self, *exc_info):
        sys.settrace(self._outer)

    def _trace_call(self, frame, event, arg):
        name = frame.f_code.co_filename
        is_traced = name.startswith(TRACED_FOLDER) or name in TRACED_FILES
        return self._trace_line if is_traced and not self.is_reached else None

    def _trace_line(self, frame, event, arg):
        if event == "line" and not self.is_reached:
            self._steps_left -= 1
            if self._steps_left < 0:
                self.is_reached = True
                self._clock.suspended_s += self._suspended_s
        return self._trace_line


@dataclass(frozen=True, slots=True)
class Scenario:
    """What an agent does when it is suspended, for an entry that has fallen silent.

    Attributes
    ----------
    silence_s : float
        Silence of the entry at which the steps begin.
    suspended_s : float
        Duration of the suspension.
    other_entry : bool
        Whether another entry, which is not silent, orders a run at that moment.
    has_run : bool
        Whether the target runs a task of the silent entry already; else it is ordered
        as the steps begin.
    is_number_stale : bool
        Whether the target refuses the first number of the run.
    idle_s : float
        Time without a call before the entry falls silent.
    clock_rate : float
        Rate of the clock of the target.
    """

    silence_s: float
    suspended_s: float
    other_entry: bool = False
    has_run: bool = False
    is_number_stale: bool = False
    idle_s: float = 0.0
    clock_rate: float = 1.0


async def play(monkeypatch, scenario, step):
    """Return whether a step was reached, the times of the runs, and their results."""
    clock = SuspendableClock()
    target = SimulatedTarget(clock, scenario.clock_rate)
    target.refuses_first_number = scenario.is_number_stale
    monkeypatch.setattr(platform_target, "boot_time_s", clock)
    monkeypatch.setattr(trio, "open_tcp_stream", target.accept)
    driver = platform_target.HttpTargetDriver("target:1", CFG)
    runner = Runner(CFG, driver, RunnerMetrics(), clock)
    suspension = SuspendAtStep(clock, step, scenario.suspended_s)

    def suspend_again():
        if suspension.is_reached:
            target.after_call = lambda: None
            clock.suspended_s += AGAIN_SUSPENDED_S

    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        runner.supervisor.handle_announcement(TARGET)
        await trio.sleep(0.2 + scenario.idle_s)
        conn, other_conn = FakeConnection("entry-1"), FakeConnection("entry-2")
        with attached(runner, conn) as silent, attached(runner, other_conn) as other:
            silent_from = clock()
            if scenario.has_run:
                runner.order_runs(silent, 1, order_tasks(1), silent_from)
            await trio.sleep(scenario.silence_s)
            target.after_call = suspend_again
            with suspension:
                if not scenario.has_run:
                    runner.order_runs(silent, 1, order_tasks(1), silent_from)
                if scenario.other_entry:
                    runner.renew_lease(other, clock())
                    order = order_tasks(2, job_id="j2")
                    runner.order_runs(other, 1, order, clock())
                await trio.sleep(STEPS_S)
            await trio.sleep(GIVEN_UP_S)
            target.expire_runs()
        nursery.cancel_scope.cancel()
    active = [
        (started_at - silent_from, ended_at and ended_at - silent_from)
        for (task, _), (started_at, ended_at) in target.runs.items()
        if task.startswith("j1.")
    ]
    return suspension.is_reached, active, conn.ends


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(0.0, 3.2),
        Scenario(0.0, 1.5),
        Scenario(0.85, 0.3),
        Scenario(0.0, 3.2, is_number_stale=True),
        Scenario(0.8, 0.8, has_run=True),
        Scenario(0.8, 0.5, has_run=True),
        Scenario(0.8, 0.3, has_run=True, other_entry=True),
        Scenario(0.0, 1.5, idle_s=60.0, clock_rate=0.98),
        Scenario(0.85, 0.3, idle_s=30.0, clock_rate=0.98),
    ],
    ids=str,
)
async def test_no_call_keeps_a_run_beyond_the_lease_of_its_entry(
    autojump_clock, monkeypatch, scenario
):
    """Guards against runs beside their copies after a suspension of their agent.

    The agent is suspended at each of its steps in turn, and once more when the target
    has executed the next call. A lease that was looked at before a suspension must not
    let a later call start or prolong a run.
    """
    for step in range(MAX_STEPS):
        is_reached, active, ends = await play(monkeypatch, scenario, step)
        for _, ended_at in active:
            assert ended_at is not None, (step, active)
            assert ended_at <= GIVEN_UP_S, (step, active)
        # What was never started is known not to have run.
        assert active or ends[1].run_state == RunState.NOT_RUN, step
        if not is_reached:
            break
    assert not is_reached
    assert step > MIN_STEPS


@pytest.mark.parametrize("clock_rate", [1.0, 0.98])
@pytest.mark.parametrize("idle_s", [1.0, 30.0, 300.0])
async def test_a_run_is_started_after_an_idle_time(
    autojump_clock, monkeypatch, clock_rate, idle_s
):
    """Guards against starts refused as late because a clock may run slow.

    The agent reads the clock of its target from answers, and gets none while idle.
    """
    scenario = Scenario(0.0, 0.0, idle_s=idle_s, clock_rate=clock_rate)
    _, active, _ = await play(monkeypatch, scenario, MAX_STEPS)
    assert len(active) == 1
