"""Stand-ins for the platform's store, minions and clients, and a small deployment.

Standard library only. All stand-ins run in the process of the script, so that one clock
orders the events in its record.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
PREFIX, HOST, SERVICE = "/q/", "desk.example", "order-desk"
# Bounds of the site file tsnc-ops.
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2000, "maxHoldMs": 1000, "stopGraceMs": 50,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "resendMs": 1300,
    "enforceFencing": "false",
}
RESEND_S = 1.3
MAX_HOLD_S = 1.0
BEAT_S = 1.5
BEGAN = time.monotonic()


def now():
    """Return the seconds since the script began."""
    return time.monotonic() - BEGAN


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Record of what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self._file.write(f"{now():9.3f} {text}\n")
        self._file.flush()


# HTTP.


async def read_message(reader):
    """Return first line, headers and body of an HTTP message, or None at its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length") or 0)
    return first, headers, await reader.readexactly(size)


def encode(first, headers, body):
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def request(address, method, path, body=None, headers=(), timeout_s=10.0):
    """Send a request over a connection of its own; return status and decoded body."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            content = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": HOST, "Content-Type": "application/json", **dict(headers)}
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, content))
            first, _, data = await read_message(reader)
        finally:
            writer.close()
    return int(first.split()[1]), json.loads(data) if data else {}


class HttpServer:
    """HTTP/1.1 server whose subclass answers requests in `answer`."""

    def __init__(self):
        self._server = None
        self._writers = set()

    async def listen(self, address):
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self):
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split()
                result = await self.answer(method, target, headers, body)
                if result is None:
                    return
                status, content = result
                fields = {"Content-Type": "application/json"}
                writer.write(
                    encode(f"HTTP/1.1 {status} X", fields, json.dumps(content).encode())
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


# The platform's store.


class Store(HttpServer):
    """Store with items, leases, transactions and watches."""

    def __init__(self):
        super().__init__()
        self.items, self._events, self._leases = {}, [], {}
        self.revision = 1
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key, "value": value, "revision": self.revision,
            "created": old["created"] if old else self.revision, "lease": lease,
        }
        self._emit(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._emit({"key": key, "revision": self.revision, "removed": True})

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def _emit(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire(self):
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            for lease in [i for i, (_, end) in self._leases.items() if end < now()]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        data = json.loads(body) if body else {}
        name, _, argument = parts.path.removeprefix("/hornbeamshore/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "currentRev": self.revision}) if item else (
                404, {"currentRev": self.revision})
        if name == "kv-range":
            items = [i for k, i in sorted(self.items.items())
                     if k.startswith(query["prefix"]) and k > query.get("after", "")]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(data)
        if name == "kv-lease":
            lease = next(self._lease_ids)
            self._leases[lease] = data["ttlMs"], now() + data["ttlMs"] / 1000
            return 200, {"lease": lease, "ttlMs": data["ttlMs"]}
        if name == "kv-keep" and int(argument) in self._leases:
            ttl_ms, _ = self._leases[int(argument)]
            self._leases[int(argument)] = ttl_ms, now() + ttl_ms / 1000
            return 200, {"lease": int(argument), "ttlMs": ttl_ms}
        if name == "kv-lease-end" and int(argument) in self._leases:
            self._end_lease(int(argument))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, ends_at = int(query["after"]), now() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [e for e in self._events if e["revision"] > after
                      and e["key"].startswith(query["prefix"])]
            if events or now() >= ends_at:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), max(0.001, ends_at - now()))

    def _transact(self, data):
        current = [self.items.get(row["key"]) for row in data.get("expectedRev", [])]
        for row, item in zip(data.get("expectedRev", []), current):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": current}
        leases = {put.get("lease", 0) for put in data.get("puts", [])}
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        for put in data.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in data.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# Minions.


class RunOfTask:
    """One run of a task at a minion."""

    def __init__(self, minion, task, number, spec):
        self.minion, self.task, self.number = minion.name, task, number
        self.work_s = json.loads(spec)["workMs"] / 1000
        self.started_at, self.ended_at, self.how = now(), None, None

    @property
    def percent(self):
        share = (now() - self.started_at) / self.work_s if self.work_s else 1
        return min(99, int(100 * share))


class Minion(HttpServer):
    """Minion that starts whatever it is told to, under leases and fencing tokens.

    Attributes
    ----------
    history : list of RunOfTask
        All runs of all lives of all minions of the deployment.
    """

    def __init__(self, name, address, control, record, history):
        super().__init__()
        self.name, self.address, self.control = name, address, control
        self.id = f"i-{name}"
        self.history = history
        self.capacity = {"cpu": 32000, "memMb": 131072, "gpu": 0}
        self.state = "ready"
        self.up = self.is_cut_off = False
        self._record = record
        self._tasks = []

    async def start(self):
        """Begin a new life, which knows nothing of an earlier one."""
        self.up = True
        self.born = time.time_ns() // 1_000_000
        self._born_at = time.monotonic()
        self._fence, self._lease_until = 0, 0.0
        self._running, self._ends, self._numbers = {}, [], {}
        self._end_numbers = itertools.count(1)
        self._ended = asyncio.Event()
        self._seq = itertools.count(1)
        await self.listen(self.address)
        self._tasks = [asyncio.create_task(self._work()),
                       asyncio.create_task(self._announce())]
        self._record(f"minion {self.name} up")

    def crash(self):
        """End without notice; what runs ends with the minion."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        for run in list(self._running.values()):
            run.ended_at, run.how = now(), "crash"
        self._running.clear()
        self.close()
        self._record(f"minion {self.name} down")

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._born_at) * 1000) + 1000

    def beat(self):
        """Return the body of the next heartbeat."""
        return {
            "service": SERVICE, "address": self.address, "zone": "perth-a",
            "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
            "capacity": self.capacity, "labels": ["a", "r1"],
            "clockMs": self.clock_ms, "seq": next(self._seq), "born": self.born,
        }

    async def send_beat(self, body):
        """Send a heartbeat to the agent; return the status, 0 for no answer."""
        path = f"/hornbeamshore/instances/{self.id}"
        try:
            status, _ = await request(self.control, "PUT", path, body, timeout_s=1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return status

    async def _announce(self):
        while True:
            if self.is_cut_off:
                await asyncio.sleep(BEAT_S)
                continue
            status = await self.send_beat(self.beat())
            await asyncio.sleep(BEAT_S if status == 200 else 0.2)

    async def _work(self):
        while True:
            await asyncio.sleep(0.002)
            moment = now()
            for run in list(self._running.values()):
                if moment - run.started_at >= run.work_s:
                    self._end(run, "done")
            if self._running and moment > self._lease_until:
                for run in list(self._running.values()):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        if self._running.pop((run.task, run.number), None) is None:
            return
        run.ended_at, run.how = now(), how
        self._ends.append([next(self._end_numbers), run.task, run.number, how, ""])
        self._record(f"minion {self.name} ended {run.task} run {run.number}: {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    def _take_lease(self, data):
        if "expiresAtMs" in data:
            left_s = (data["expiresAtMs"] - self.clock_ms) / 1000
            until = now() + min(left_s, MAX_HOLD_S)
            self._lease_until = max(self._lease_until, until)

    def _reply(self, status=200, **fields):
        return status, {"clockMs": self.clock_ms, "born": self.born, **fields}

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.0005)
        if not self.up:
            return None
        data = json.loads(body)
        if headers.get("hornbeamshore-expect-instance", self.id) != self.id:
            return self._reply(421)
        if data.get("fencingToken", 0) < self._fence:
            return self._reply(409, reason="fence")
        self._fence = data.get("fencingToken", 0)
        call = target.rpartition("/")[2]
        return await {"run-start": self._start_run, "run-stop": self._stop_run,
                      "hold": self._hold}[call](data)

    async def _start_run(self, data):
        task, number = data["task"], data["runId"]
        if (task, number) in self._running:
            return self._reply()
        if data["expiresAtMs"] <= self.clock_ms:
            return self._reply(409, reason="late")
        self._take_lease(data)
        if number <= self._numbers.get(task, 0):
            return self._reply(409, reason="old")
        self._numbers[task] = number
        run = self._running[task, number] = RunOfTask(self, task, number, data["taskSpec"])
        self.history.append(run)
        self._record(f"minion {self.name} started {task} run {number}")
        return self._reply()

    async def _stop_run(self, data):
        task, number = data["task"], data["runId"]
        self._numbers[task] = max(number, self._numbers.get(task, 0))
        run = self._running.get((task, number))
        if run is not None:
            await asyncio.sleep(0.01)
            self._end(run, "stopped")
        return self._reply()

    async def _hold(self, data):
        self._take_lease(data)
        seen = data.get("lastSeen", 0)
        self._ends = [row for row in self._ends if row[0] > seen]
        if not self._ends and data.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), data["waitMs"] / 1000)
        running = [[r.task, r.number, "", r.percent, 3.0] for r in self._running.values()]
        return self._reply(running=running, completions=self._ends[:500])


class Relay:
    """Relay in front of a minion that can cut the path without a sign of it."""

    def __init__(self, address, target):
        self._address, self._target = address, target
        self._server = None
        self._writers = set()
        self._is_cut = False

    async def start(self):
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def cut(self):
        """Drop all bytes from now on; connections stay open or hang."""
        self._is_cut = True

    def heal(self):
        """Let new connections through; those of the time of the cut are dead."""
        self._is_cut = False
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            if self._is_cut:
                await asyncio.Event().wait()
            host, _, port = self._target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(far_writer)
            await asyncio.gather(self._pump(reader, far_writer),
                                 self._pump(far_reader, writer))
        except OSError:
            writer.transport.abort()

    async def _pump(self, reader, writer):
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            if self._is_cut:
                await asyncio.Event().wait()
            if not data:
                writer.close()
                return
            writer.write(data)


def overlapping_runs(history):
    """Return the pairs of runs of one task that worked at the same time."""
    by_task = {}
    for run in history:
        by_task.setdefault(run.task, []).append(run)
    pairs = []
    for runs in by_task.values():
        for a, b in itertools.combinations(sorted(runs, key=lambda r: r.started_at), 2):
            if (a.ended_at or now()) > b.started_at:
                pairs.append((a, b))
    return pairs


def describe_overlap(a, b):
    overlap_s = min(a.ended_at or now(), b.ended_at or now()) - b.started_at
    return (f"{a.task}: run {a.number} on {a.minion} from {a.started_at:.3f} to "
            f"{a.ended_at or now():.3f} ({a.how}), run {b.number} on {b.minion} from "
            f"{b.started_at:.3f} to {b.ended_at or now():.3f} ({b.how}); "
            f"{overlap_s * 1000:.0f} ms at the same time")


# Processes of the system.


class Process:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, role, name, settings, folder, record):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"][role]["run"].split()
        self.name, self._record = name, record
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
        self._process = None

    def start(self):
        environ = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environ["PYTHONPATH"] = str(ROOT / "target/deps")
        environ["HORNBEAMSHORE_BOOT"] = str(self._settings)
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=environ, stdout=log, stderr=log)
        self._record(f"process {self.name} started")

    def send(self, signum):
        self._process.send_signal(signum)
        self._record(f"process {self.name} got {signal.Signals(signum).name}")

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    def end(self):
        if self.is_running:
            self._process.kill()
            self._process.wait()

    def log_lines(self):
        return self._log.read_text(errors="replace").splitlines()


class Deployment:
    """Store, entries and agents with their minions on loopback addresses."""

    def __init__(self, record, entries=1, agents=3, queues=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp())
        self.history = []
        self.store = Store()
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        entry_ips = [f"{net}.{10 + i}" for i in range(entries)]
        agent_ips = [f"{net}.{40 + i}" for i in range(agents)]
        front, ready, control, inner, app, store, behind = _free_ports(
            entry_ips + agent_ips, 7)
        self.store_address = f"{entry_ips[0]}:{store}"
        common = {
            "zone": "perth-a", "region": "scot-central",
            "zones.perth-a": "scot-central", "portRange": f"{inner},{inner + 15}",
            "seeds": ",".join(f"{ip}:{control}" for ip in entry_ips[:3]),
            "bootstrap": "true", "discovery": "local", "entry": "vip",
            "heartbeatMs": 1500, "orders": "rpc", "platform.form": "kv",
            "platform.address": self.store_address,
            "platform.writesPerS": 400, "platform.readsPerS": 2000,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        self.fronts, self.ready, self.entries = [], [], []
        self.agents, self.minions = [], []
        for i, ip in enumerate(entry_ips):
            settings = {
                "node": f"front-{i + 1}", "machineClass": "front", "ip": ip,
                "serves": "front,control", "listen.front": f"{ip}:{front}",
                "listen.ready": f"{ip}:{ready}", "listen.control": f"{ip}:{control}",
                **common,
            }
            self.fronts.append(f"{ip}:{front}")
            self.ready.append(f"{ip}:{ready}")
            self.entries.append(
                Process("entry", f"entry-{i + 1}", settings, self.folder, record))
        for i, ip in enumerate(agent_ips):
            settings = {
                "node": f"side-{i + 1}", "machineClass": "side", "ip": ip,
                "serves": "side", "listen.control": f"{ip}:{control}",
                "app": f"{ip}:{app}", "service": SERVICE, **common,
            }
            self.agents.append(
                Process("agent", f"agent-{i + 1}", settings, self.folder, record))
            self.minions.append(
                Minion(f"m{i + 1}", f"{ip}:{app}", f"{ip}:{control}", record, self.history))
        self.config = {
            "version": 3, "services": [{"name": SERVICE}], "limits": {},
            "routes": queues or [{
                "name": "r-1", "host": HOST, "prefix": PREFIX, "service": SERVICE,
                "priority": 0, "maxAttempts": 3, "stretch": 1.6, "sloMs": 60}],
        }
        # Address for a minion that a relay stands in front of.
        self.behind = [f"{ip}:{behind}" for ip in agent_ips]
        self._expiry = None

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            self._end()
            raise
        return self

    async def __aexit__(self, *_):
        self._end()

    async def _start(self):
        await self.store.listen(self.store_address)
        self._expiry = asyncio.create_task(self.store.expire())
        self.store.put_json("op/config", self.config)
        for process in self.entries + self.agents:
            process.start()
        for minion in self.minions:
            await minion.start()
        for address in self.ready:
            await self.wait_ready(address)
        # All agents are connected to all entries by now.
        await asyncio.sleep(3.0)

    def _end(self):
        for process in self.entries + self.agents:
            process.end()
        for minion in self.minions:
            if minion.up:
                minion.crash()
        self.store.close()
        if self._expiry is not None:
            self._expiry.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, address, timeout_s=30.0):
        ends_at = now() + timeout_s
        while now() < ends_at:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                status, _ = await request(
                    address, "GET", "/hornbeamshore/ready", timeout_s=1.0)
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{address} is not ready")

    def start_client(self, job_id, body, fronts, deadline_s=14.0):
        """Submit a job as a client does; return the asyncio task with its answer."""
        return asyncio.create_task(self._submit(job_id, body, fronts, deadline_s))

    async def _submit(self, job_id, body, fronts, deadline_s):
        ends_at = now() + deadline_s
        for front in itertools.cycle(fronts):
            left_s = ends_at - now()
            if left_s <= 0:
                return None
            headers = {"Hornbeamshore-Deadline-Ms": int(left_s * 1000)}
            self.record(f"client POST {job_id} to {front}")
            try:
                status, answer = await request(
                    front, "POST", PREFIX + job_id, body, headers, left_s)
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
                status, answer = 0, type(exc).__name__
            self.record(f"client POST {job_id} answered {status} {answer}")
            if status not in (0, 502, 504):
                return status, answer
            await asyncio.sleep(RESEND_S)


def _free_ports(ips, count):
    """Return ports that are free on all addresses, the inner one with its range."""
    ports = []
    for _ in range(200):
        port = random.randint(20000, 31000)
        if any(abs(port - other) < 20 for other in ports):
            continue
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    stack.enter_context(socket.create_server((ip, port)))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def job(work_ms, count=1, cpu=3000, steps=1, estimate_ms=None):
    """Return the body of a best-effort job; steps follow one another."""
    rows = []
    for index in range(steps):
        row = {"count": count, "cpu": cpu, "memMb": 64,
               "estimateMs": estimate_ms or work_ms}
        if index:
            row["after"] = [index - 1]
        rows.append(row)
    return {"taskSpec": json.dumps({"workMs": work_ms}), "bestEffort": True, "steps": rows}


def new_job_id():
    return f"{random.getrandbits(64):016x}"


def run_case(case, folder):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    Parameters
    ----------
    case : coroutine function
        Called with the record; returns the list of breaches.
    """
    record = Record(Path(folder) / "record.txt")
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        breaches = asyncio.run(asyncio.wait_for(case(record), 110.0))
    except (CannotRun, TimeoutError, OSError) as exc:
        record(f"cannot run: {exc!r}")
        print(f"cannot run: {exc!r}")
        sys.exit(NOT_RUN)
    for text in breaches:
        record(f"BREACH {text}")
        print(text)
    record(f"{len(breaches)} breaches")
    print(f"{len(breaches)} breaches")
    sys.exit(BROKEN if breaches else HELD)
