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
START_AND_END, STALL = ["start", "end"], {"stall": True}


def events(env, start):
    return [line["event"] for line in env.log if line["job"] == start.key.job_id]


# Faults of the target (None: stopped), options of the start, code and run state of the
# result, and events in the log of the target.
RESULT_CASES = {
    "response": ({}, {}, Code.OK, RAN, START_AND_END),
    "HTTP 500 response": ({"fail": True}, {}, Code.TASK_FAILED, RAN, START_AND_END),
    "connection dropped": (
        {"drop": True},
        {},
        Code.OUTCOME_UNKNOWN,
        UNKNOWN,
        START_AND_END,
    ),
    "deadline exceeded": (
        STALL,
        {"timeout": 0.05},
        Code.DEADLINE_EXCEEDED,
        UNKNOWN,
        START_AND_END[:1],
    ),
    "response too large": (
        {},
        {"echo": "x" * 5000},
        Code.RESULT_TOO_LARGE,
        RAN,
        START_AND_END,
    ),
    "malformed request": ({}, {"method": "A B"}, Code.MALFORMED_REQUEST, NOT_RUN, []),
    "target unreachable": (None, {}, Code.TARGET_UNREACHABLE, NOT_RUN, []),
}


@pytest.mark.parametrize(
    ("faults", "options", "code", "run_state", "logged"),
    RESULT_CASES.values(),
    ids=RESULT_CASES,
)
async def test_result_matches_target_log(
    agent_env, helpers, faults, options, code, run_state, logged
):
    """Guards against ``NOT_RUN`` for an executed task and against repeated requests."""
    async with agent_env(max_result_size=4096) as env:
        conn, start = await grant_fence(env), helpers.start("job-1", **options)
        if faults is None:
            env.stop_target()
            await trio.testing.wait_all_tasks_blocked(0.01)
        env.target.set_faults(**faults or {})
        conn.send(start)
        (result,) = await env.entry.results(1)
        assert (result.code, result.run_state) == (code, run_state)
        assert events(env, start) == logged
        # All slots and their connections must still be usable.
        env.target.set_faults(fail=False, drop=False, stall=False)
        for number in range(2, 18 if faults is not None else 2):
            conn.send(helpers.start(f"job-{number}"))
            assert (await env.entry.results(number))[-1].code == Code.OK


# Steps before the start, options of the start, and the code of its refusal.
REFUSAL_CASES = {
    "lower epoch": ([], {"epoch": 0}, Code.STALE_EPOCH),
    "epoch never granted": ([], {"epoch": 2}, Code.STALE_EPOCH),
    "same attempt ended": (["ended"], {}, Code.DUPLICATE_START),
    "lower attempt after end": (["ended"], {"attempt": 0}, Code.DUPLICATE_START),
    "same attempt running": (["running"], {}, Code.DUPLICATE_START),
    "earlier attempt running": (["running"], {"attempt": 2}, Code.DUPLICATE_START),
    "started on another agent": (["copied"], {}, Code.DUPLICATE_START),
    "refused by reconciliation": (["reconciled"], {}, Code.NO_FREE_SLOT),
    "expired": ([], {"expires": 1}, Code.START_EXPIRED),
    "no time left": ([], {"timeout": 0}, Code.START_EXPIRED),
    "no free slot": (["other task running"], {}, Code.NO_FREE_SLOT),
}


@pytest.mark.parametrize(
    ("steps", "options", "code"), REFUSAL_CASES.values(), ids=REFUSAL_CASES
)
async def test_refused_start_is_not_executed(agent_env, helpers, steps, options, code):
    """Guards against a duplicate start and against a refusal after the start."""
    async with agent_env(slots=1) as env:
        conn, first = await grant_fence(env), helpers.start("job-1")
        result_count = 1
        for step in steps:
            if step == "ended":
                conn.send(first)
                await env.entry.results(1)
                result_count = 2
            elif step in ("running", "other task running"):
                env.target.set_faults(stall=True)
                conn.send(first if step == "running" else helpers.start("job-0"))
                await env.entry.wait_until(lambda: env.log)
            elif step == "copied":
                record = StartRecord(first.key, 0, 1, RecordState.RUNNING, 1)
                copy = CopyRecords(helpers.partition, 1, "agent-2", (record,))
                assert (await conn.call(copy, 30)).code == Code.OK
            else:
                reconcile = Reconcile(helpers.partition, 1, (helpers.ref(first),))
                assert (await conn.call(reconcile, 30)).refused == reconcile.tasks
        conn.send(helpers.start("job-1", **options))
        result = (await env.entry.results(result_count))[-1]
        other_attempts = [line for line in env.log if line["attempt"] != 1]
        assert (result.code, result.run_state) == (code, NOT_RUN)
        assert other_attempts == []
        assert events(env, first).count("start") == (steps in (["ended"], ["running"]))


@pytest.mark.parametrize("first_attempt", ["refused", "ended"])
async def test_later_attempt_is_executed(agent_env, helpers, first_attempt):
    """Guards against a record that prevents the retry of a refused or ended task."""
    async with agent_env() as env:
        conn = await grant_fence(env)
        options = {"expires": 1} if first_attempt == "refused" else {}
        conn.send(helpers.start("job-1", **options))
        await env.entry.results(1)
        conn.send(helpers.start("job-1", attempt=2))
        assert (await env.entry.results(2))[1].code == Code.OK


async def grant_fence(env):
    assert (await env.entry.fence(1)).code == Code.OK
    return env.entry.conn


async def test_cancellation_frees_the_slot(agent_env, helpers):
    """Guards against slots that stay occupied after a cancellation."""
    async with agent_env(slots=1) as env:
        conn = await grant_fence(env)
        env.target.set_faults(stall=True)
        # Without the cancellation, the test times out before this deadline passes.
        start = helpers.start("job-1", timeout=60)
        conn.send(start)
        await env.entry.wait_until(lambda: env.log)
        conn.send(CancelTasks(helpers.partition, 1, (helpers.ref(start),)))
        (result,) = await env.entry.results(1)
        env.target.set_faults(stall=False)
        conn.send(helpers.start("job-2"))
        results = await env.entry.results(2)
    assert (result.code, result.run_state) == (Code.CANCELLED, UNKNOWN)
    assert results[1].code == Code.OK


async def test_result_is_available_after_reconnect(agent_env, helpers):
    """Guards against a lost result or a second execution after a reconnect."""
    async with agent_env() as env:
        conn, start = await grant_fence(env), helpers.start("job-1", echo="kanten")
        env.target.set_faults(stall=True)
        conn.send(start)
        await env.entry.wait_until(lambda: env.log)
        conn.close()
        env.target.set_faults(stall=False)
        await env.entry.wait_until(lambda: env.entry.conn is not conn)
        unknown = helpers.ref(helpers.start("job-2"))
        reconcile = Reconcile(helpers.partition, 1, (helpers.ref(start), unknown))
        while True:
            reply = await env.entry.conn.call(reconcile, 30)
            (record,) = reply.records
            if record.state == RecordState.ENDED:
                break
    assert reply.refused in ((unknown,), ())
    assert (record.result.code, record.result.body) == (0, b'{"echo": "kanten"}')
    assert events(env, start) == ["start", "end"]


async def test_fence_reply_contains_records_and_roster(agent_env, helpers):
    """Guards against starts, copies or a roster that a new owner does not receive."""
    async with agent_env() as env:
        conn, start = await grant_fence(env), helpers.start("job-1")
        conn.send(start)
        await env.entry.results(1)
        record = StartRecord(helpers.start("job-2").key, 4, 1, RecordState.RUNNING, 1)
        await conn.call(CopyRecords(helpers.partition, 1, "agent-2", (record,)), 30)
        for version in (2, 3, 1):
            conn.send(RosterUpdate(helpers.partition, Roster(1, version)))
        reply = await env.entry.fence(2)
    own = [item for item in reply.records if item.key == start.key]
    assert [(item.state, item.result.code) for item in own] == [(RecordState.ENDED, 0)]
    assert [item for item in reply.records if item.key == record.key] == [record]
    assert reply.roster == Roster(1, 3)


async def test_graceful_shutdown_transfers_all_records(agent_env, helpers):
    """Guards against a shutdown that interrupts tasks or loses start records."""
    async with agent_env() as env:
        conn, start = await grant_fence(env), helpers.start("job-1")
        env.target.set_faults(stall=True)
        conn.send(start)
        await env.entry.wait_until(lambda: env.log)
        signal.raise_signal(signal.SIGTERM)
        await env.entry.wait_until(lambda: env.entry.announced[-1].leaving)
        conn.send(helpers.start("job-2"))
        (refused,) = await env.entry.results(1)
        env.target.set_faults(stall=False)
        await env.entry.wait_until(lambda: env.exit_code is not None)
    results = await env.entry.results(2)
    states = {rec.key.job_id: rec.state for rec in env.entry.leave_messages[0].records}
    assert (refused.code, refused.run_state) == (Code.AGENT_LEAVING, NOT_RUN)
    assert results[1].code == Code.OK
    assert states == {"job-1": RecordState.ENDED, "job-2": RecordState.REFUSED}
    assert env.exit_code == 0


@pytest.mark.parametrize(("pause_s", "code"), [(3, Code.OK), (7, Code.STALE_EPOCH)])
async def test_long_pause_requires_a_new_fence(
    agent_env, helpers, mock_clock, pause_s, code
):
    """Guards against a start sent before a long pause that is executed after it."""
    mock_clock.rate = 1.0
    async with agent_env() as env:
        conn, start = await grant_fence(env), helpers.start("job-1")
        incarnation = conn.peer.incarnation
        mock_clock.jump(pause_s)
        await env.entry.wait_until(lambda: env.entry.conn is not conn)
        env.entry.conn.send(start)
        (result,) = await env.entry.results(1)
        repeated = await env.entry.fence(1)
        env.entry.conn.send(helpers.start("job-1", attempt=2))
        results = await env.entry.results(2)
    assert result.code == code
    changed = env.entry.conn.peer.incarnation != incarnation
    assert changed == (code != Code.OK)
    assert (repeated.code, results[1].code) == (Code.OK, Code.OK)


async def test_outdated_owner_table_is_ignored(agent_env):
    """Guards against an outdated owner table that reconnects to removed entries."""
    async with agent_env() as env, trio.open_nursery() as nursery:
        listeners = [await trio.open_tcp_listeners(0, host="127.0.0.1") for _ in "ab"]
        ports = [listener[0].socket.getsockname()[1] for listener in listeners]
        await env.entry.wait_until(lambda: env.entry.announced)
        for version, port in ((5, ports[0]), (4, ports[1]), (5, ports[1])):
            entry = TableEntry("entry-9", 1, f"127.0.0.1:{port}", "x", "x")
            env.entry.conn.send(TableUpdate(OwnerTable(version, (entry,))))
        async with await listeners[0][0].accept():
            pass
        # Messages are handled in order, so the reply shows that all tables were read.
        await env.entry.fence(1)
        assert env.agent.table.version == 5
        assert list(env.agent.uplinks._by_address) == [f"127.0.0.1:{ports[0]}"]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_closed", [False, True])
async def test_entry_that_returns_to_the_table_keeps_its_connection(
    agent_env, is_closed
):
    """Guards against an owner that loses its leases when it joins the table again."""
    async with agent_env() as env:
        conn, (address,) = await grant_fence(env), env.agent.cfg.entries
        uplinks = env.agent.uplinks
        uplink = uplinks._by_address[address]
        uplinks.select((), (address,) if is_closed else ())
        assert uplink.retired
        uplinks.select((address,))
        if is_closed:
            await env.entry.wait_until(lambda: env.entry.conn is not conn)
        assert (uplinks._by_address[address] is uplink) == (not is_closed)
        # The connection is opened again after its end, whoever opened it first.
        conn = await grant_fence(env)
        conn.close()
        await env.entry.wait_until(lambda: env.entry.conn is not conn)
        assert list(uplinks._by_address) == [address]
        assert not uplinks._retired


SETTINGS_CASES = {
    "valid": ({}, ""),
    "slots above connections": ({"slots": 99}, "slots 99: at most connections (64)"),
    "malformed address": ({"target": "here"}, "$.target: 'here': expected"),
    "unknown key": ({"slot": 8}, "$.slot: 8: unknown key; known: "),
    "unreadable secret": ({"secret_file": "/"}, "$.secret_file '/': cannot be read"),
}


@pytest.mark.parametrize(
    ("changes", "message"), SETTINGS_CASES.values(), ids=SETTINGS_CASES
)
async def test_process_starts_and_shuts_down(
    agent_env, helpers, tmp_path, changes, message
):
    """Guards against a missing module in the daemon and against invalid settings."""
    (tmp_path / "secret").write_bytes(b"secret of the deployment")
    async with agent_env() as env, trio.open_nursery() as nursery:
        raw = dataclasses.asdict(env.agent.cfg)
        raw = {key: raw[key] for key in raw if isinstance(raw[key], str)}
        raw |= {"entries": list(env.agent.cfg.entries), "agent_id": "agent-2"}
        raw |= {"secret_file": str(tmp_path / "secret")} | changes
        (tmp_path / "agent.yaml").write_text(json.dumps(raw))
        code = "from hornbeamshore.agent.main import main; main()"
        command = [sys.executable, "-c", code, "run", str(tmp_path / "agent.yaml")]
        run = functools.partial(trio.run_process, check=False, stderr=subprocess.PIPE)
        process = await nursery.start(run, command)
        if not message:
            conns = env.entry.conns
            await env.entry.wait_until(lambda: "agent-2" in conns)
            await conns["agent-2"].call(Fence(helpers.partition, 1), 30)
            conns["agent-2"].send(helpers.start("job-1"))
            await env.entry.results(1)
            process.terminate()
        stderr = (await process.stderr.receive_some()).decode() if message else ""
    assert message in stderr
    assert process.returncode == (2 if message else 0)


@pytest.mark.parametrize(
    ("has_sent_records", "code"), [(False, Code.OK), (True, Code.AGENT_LEAVING)]
)
async def test_a_copy_is_refused_after_the_records_were_transferred(
    agent_env, helpers, has_sent_records, code
):
    """Guards against copies of start records that end with the agent."""
    async with agent_env() as env:
        conn, start = await grant_fence(env), helpers.start("job-1")
        env.target.set_faults(stall=not has_sent_records)
        conn.send(start)
        await env.entry.wait_until(lambda: env.log)
        record = StartRecord(helpers.start("job-2").key, 0, 1, RecordState.RUNNING, 1)
        copy = CopyRecords(helpers.partition, 1, "agent-2", (record,))
        env.entry.answers_leave = False
        signal.raise_signal(signal.SIGTERM)
        await env.entry.wait_until(lambda: env.entry.announced[-1].leaving)
        if has_sent_records:
            await env.entry.wait_until(lambda: env.entry.leave_messages)
        assert (await conn.call(copy, 30)).code == code
        env.target.set_faults(stall=False)
        await env.entry.wait_until(lambda: env.entry.leave_messages)
        sent = record in env.entry.leave_messages[0].records
        assert sent == (code == Code.OK)
        conn.close()
        env.entry.answers_leave = True
        await env.entry.wait_until(lambda: env.exit_code is not None)
