"""An agent with a fake entry and a stand-in target, over real sockets."""

import dataclasses
import functools
import json
import signal
import subprocess
import sys

import pytest
import trio
import trio.testing

from hornbeamshore.base.codes import ResultCode as Code
from hornbeamshore.base.codes import RunState
from hornbeamshore.wire.messages import (
    CancelTasks,
    CopyRecords,
    Fence,
    OwnerTable,
    Reconcile,
    RecordState,
    Roster,
    RosterUpdate,
    StartRecord,
    TableEntry,
    TableUpdate,
)

RAN, NOT_RUN, UNKNOWN = RunState.RAN, RunState.NOT_RUN, RunState.UNKNOWN
BOTH, STALL = ["start", "end"], {"stall": True}


def events(this, start):
    return [line["event"] for line in this.log if line["job"] == start.key.job_id]


# Faults of the target (None: stopped), options of the start, code and run state of the
# result, and events in the log of the target.
OUTCOMES = {
    "response": ({}, {}, Code.OK, RAN, BOTH),
    "HTTP 500 response": ({"fail": True}, {}, Code.TASK_FAILED, RAN, BOTH),
    "connection dropped": ({"drop": True}, {}, Code.OUTCOME_UNKNOWN, UNKNOWN, BOTH),
    "deadline exceeded": (
        STALL,
        {"timeout": 0.05},
        Code.DEADLINE_EXCEEDED,
        UNKNOWN,
        BOTH[:1],
    ),
    "response too large": ({}, {"echo": "x" * 5000}, Code.RESULT_TOO_LARGE, RAN, BOTH),
    "malformed request": ({}, {"method": "A B"}, Code.MALFORMED_REQUEST, NOT_RUN, []),
    "target unreachable": (None, {}, Code.TARGET_UNREACHABLE, NOT_RUN, []),
}


@pytest.mark.parametrize(
    ("faults", "options", "code", "run_state", "logged"),
    OUTCOMES.values(),
    ids=OUTCOMES,
)
async def test_outcome_agrees_with_the_target(
    world, helpers, faults, options, code, run_state, logged
):
    """Guards against a false ``not run`` and against a repeated request."""
    async with world(max_result_size=4096) as this:
        conn, start = await fenced(this), helpers.start("job-1", **options)
        if faults is None:
            this.stop_target()
            await trio.testing.wait_all_tasks_blocked(0.01)
        this.target.set_faults(**faults or {})
        conn.send(start)
        (result,) = await this.entry.results(1)
        assert (result.code, result.run_state) == (code, run_state)
        assert events(this, start) == logged
        # All slots and their connections must still be usable.
        this.target.set_faults(fail=False, drop=False, stall=False)
        for number in range(2, 18 if faults is not None else 2):
            conn.send(helpers.start(f"job-{number}"))
            assert (await this.entry.results(number))[-1].code == Code.OK


# Steps before the start, options of the start, and the code of its refusal.
REFUSALS = {
    "lower epoch": ([], {"epoch": 0}, Code.STALE_EPOCH),
    "epoch never granted": ([], {"epoch": 2}, Code.STALE_EPOCH),
    "same attempt ended": (["ran"], {}, Code.DUPLICATE_START),
    "lower attempt after end": (["ran"], {"attempt": 0}, Code.DUPLICATE_START),
    "same attempt running": (["runs"], {}, Code.DUPLICATE_START),
    "earlier attempt running": (["runs"], {"attempt": 2}, Code.DUPLICATE_START),
    "started on another agent": (["copied"], {}, Code.DUPLICATE_START),
    "refused by reconciliation": (["reconciled"], {}, Code.NO_FREE_SLOT),
    "expired": ([], {"expires": 1}, Code.START_EXPIRED),
    "no time left": ([], {"timeout": 0}, Code.START_EXPIRED),
    "no free slot": (["busy"], {}, Code.NO_FREE_SLOT),
}


@pytest.mark.parametrize(("before", "options", "code"), REFUSALS.values(), ids=REFUSALS)
async def test_refused_start_never_runs(world, helpers, before, options, code):
    """Guards against a duplicate start and against a refusal after the start."""
    async with world(slots=1) as this:
        conn, first = await fenced(this), helpers.start("job-1")
        answers = 1
        for step in before:
            if step == "ran":
                conn.send(first)
                await this.entry.results(1)
                answers = 2
            elif step in ("runs", "busy"):
                this.target.set_faults(stall=True)
                conn.send(first if step == "runs" else helpers.start("job-0"))
                await this.entry.until(lambda: this.log)
            elif step == "copied":
                record = StartRecord(first.key, 0, 1, RecordState.RUNNING, 1)
                copy = CopyRecords(helpers.partition, 1, "agent-2", (record,))
                assert (await conn.call(copy, 30)).code == Code.OK
            else:
                ask = Reconcile(helpers.partition, 1, (helpers.ref(first),))
                assert (await conn.call(ask, 30)).refused == ask.tasks
        conn.send(helpers.start("job-1", **options))
        result = (await this.entry.results(answers))[-1]
        ran = [line for line in this.log if line["attempt"] != 1]
        assert (result.code, result.run_state) == (code, NOT_RUN)
        assert ran == []
        assert events(this, first).count("start") == (before in (["ran"], ["runs"]))


@pytest.mark.parametrize("before", ["refused", "ran"])
async def test_later_attempt_runs(world, helpers, before):
    """Guards against a record that prevents the retry of a refused or ended task."""
    async with world() as this:
        conn = await fenced(this)
        options = {"expires": 1} if before == "refused" else {}
        conn.send(helpers.start("job-1", **options))
        await this.entry.results(1)
        conn.send(helpers.start("job-1", attempt=2))
        assert (await this.entry.results(2))[1].code == Code.OK


async def fenced(this):
    assert (await this.entry.fence(1)).code == Code.OK
    return this.entry.conn


async def test_cancelled_task_is_ended(world, helpers):
    """Guards against slots that stay occupied after a cancellation."""
    async with world(slots=1) as this:
        conn = await fenced(this)
        this.target.set_faults(stall=True)
        # Without the cancellation, the test times out before this deadline passes.
        start = helpers.start("job-1", timeout=60)
        conn.send(start)
        await this.entry.until(lambda: this.log)
        conn.send(CancelTasks(helpers.partition, 1, (helpers.ref(start),)))
        (result,) = await this.entry.results(1)
        this.target.set_faults(stall=False)
        conn.send(helpers.start("job-2"))
        results = await this.entry.results(2)
    assert (result.code, result.run_state) == (Code.CANCELLED, UNKNOWN)
    assert results[1].code == Code.OK


async def test_lost_connection_is_reconciled(world, helpers):
    """Guards against a lost result or a second execution after a reconnect."""
    async with world() as this:
        conn, start = await fenced(this), helpers.start("job-1", echo="kanten")
        this.target.set_faults(stall=True)
        conn.send(start)
        await this.entry.until(lambda: this.log)
        conn.close()
        this.target.set_faults(stall=False)
        await this.entry.until(lambda: this.entry.conn is not conn)
        missing = helpers.ref(helpers.start("job-2"))
        ask = Reconcile(helpers.partition, 1, (helpers.ref(start), missing))
        while True:
            reply = await this.entry.conn.call(ask, 30)
            (record,) = reply.records
            if record.state == RecordState.ENDED:
                break
    assert reply.refused in ((missing,), ())
    assert (record.result.code, record.result.body) == (0, b'{"echo": "kanten"}')
    assert events(this, start) == ["start", "end"]


async def test_fence_returns_what_the_agent_knows(world, helpers):
    """Guards against starts, copies or a roster that a new owner does not receive."""
    async with world() as this:
        conn, start = await fenced(this), helpers.start("job-1")
        conn.send(start)
        await this.entry.results(1)
        record = StartRecord(helpers.start("job-2").key, 4, 1, RecordState.RUNNING, 1)
        await conn.call(CopyRecords(helpers.partition, 1, "agent-2", (record,)), 30)
        for version in (2, 3, 1):
            conn.send(RosterUpdate(helpers.partition, Roster(1, version)))
        reply = await this.entry.fence(2)
    own = [known for known in reply.records if known.key == start.key]
    assert [(known.state, known.result.code) for known in own] == [
        (RecordState.ENDED, 0)
    ]
    assert [known for known in reply.records if known.key == record.key] == [record]
    assert reply.roster == Roster(1, 3)


async def test_planned_stop_hands_everything_over(world, helpers):
    """Guards against a shutdown that interrupts tasks or loses start records."""
    async with world() as this:
        conn, start = await fenced(this), helpers.start("job-1")
        this.target.set_faults(stall=True)
        conn.send(start)
        await this.entry.until(lambda: this.log)
        signal.raise_signal(signal.SIGTERM)
        await this.entry.until(lambda: this.entry.announced[-1].leaving)
        conn.send(helpers.start("job-2"))
        (refused,) = await this.entry.results(1)
        this.target.set_faults(stall=False)
        await this.entry.until(lambda: this.exit_code is not None)
    results = await this.entry.results(2)
    states = {rec.key.job_id: rec.state for rec in this.entry.left[0].records}
    assert (refused.code, refused.run_state) == (Code.AGENT_LEAVING, NOT_RUN)
    assert results[1].code == Code.OK
    assert states == {"job-1": RecordState.ENDED, "job-2": RecordState.REFUSED}
    assert this.exit_code == 0


@pytest.mark.parametrize(("pause_s", "code"), [(3, Code.OK), (7, Code.STALE_EPOCH)])
async def test_paused_agent_waits_for_a_fence(
    world, helpers, mock_clock, pause_s, code
):
    """Guards against a start sent before a long pause that is executed after it."""
    mock_clock.rate = 1.0
    async with world() as this:
        conn, start = await fenced(this), helpers.start("job-1")
        incarnation = conn.peer.incarnation
        mock_clock.jump(pause_s)
        await this.entry.until(lambda: this.entry.conn is not conn)
        this.entry.conn.send(start)
        (result,) = await this.entry.results(1)
        renewed = await this.entry.fence(1)
        this.entry.conn.send(helpers.start("job-1", attempt=2))
        results = await this.entry.results(2)
    assert result.code == code
    changed = this.entry.conn.peer.incarnation != incarnation
    assert changed == (code != Code.OK)
    assert (renewed.code, results[1].code) == (Code.OK, Code.OK)


async def test_agent_follows_the_newest_owner_table(world):
    """Guards against an outdated owner table that reconnects to removed entries."""
    async with world() as this, trio.open_nursery() as nursery:
        doors = [await trio.open_tcp_listeners(0, host="127.0.0.1") for _ in "ab"]
        ports = [door[0].socket.getsockname()[1] for door in doors]
        await this.entry.until(lambda: this.entry.announced)
        for version, port in ((5, ports[0]), (4, ports[1]), (5, ports[1])):
            entry = TableEntry("entry-9", 1, f"127.0.0.1:{port}", "x", "x")
            this.entry.conn.send(TableUpdate(OwnerTable(version, (entry,))))
        async with await doors[0][0].accept():
            pass
        # Messages are handled in order, so the reply shows that all tables were read.
        await this.entry.fence(1)
        assert this.agent.table.version == 5
        assert list(this.agent.uplinks._links) == [f"127.0.0.1:{ports[0]}"]
        nursery.cancel_scope.cancel()


FAULTS = {
    "valid": ({}, ""),
    "slots above connections": ({"slots": 99}, "slots 99: at most connections (64)"),
    "malformed address": ({"target": "here"}, "$.target: 'here': expected"),
    "unknown key": ({"slot": 8}, "$.slot: 8: unknown key; known: "),
    "unreadable secret": ({"secret_file": "/"}, "$.secret_file '/': cannot be read"),
}


@pytest.mark.parametrize(("changes", "message"), FAULTS.values(), ids=FAULTS)
async def test_process_starts_and_leaves(world, helpers, tmp_path, changes, message):
    """Guards against a missing module in the daemon and against invalid settings."""
    (tmp_path / "secret").write_bytes(b"secret of the deployment")
    async with world() as this, trio.open_nursery() as nursery:
        raw = dataclasses.asdict(this.agent.cfg)
        raw = {key: raw[key] for key in raw if isinstance(raw[key], str)}
        raw |= {"entries": list(this.agent.cfg.entries), "agent_id": "agent-2"}
        raw |= {"secret_file": str(tmp_path / "secret")} | changes
        (tmp_path / "agent.yaml").write_text(json.dumps(raw))
        code = "from hornbeamshore.agent.main import main; main()"
        command = [sys.executable, "-c", code, "run", str(tmp_path / "agent.yaml")]
        run = functools.partial(trio.run_process, check=False, stderr=subprocess.PIPE)
        process = await nursery.start(run, command)
        if not message:
            conns = this.entry.conns
            await this.entry.until(lambda: "agent-2" in conns)
            await conns["agent-2"].call(Fence(helpers.partition, 1), 30)
            conns["agent-2"].send(helpers.start("job-1"))
            await this.entry.results(1)
            process.terminate()
        stderr = (await process.stderr.receive_some()).decode() if message else ""
    assert message in stderr
    assert process.returncode == (2 if message else 0)
