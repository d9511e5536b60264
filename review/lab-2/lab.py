"""Stand-ins and a small deployment for the scripts of the second review.

Only the standard library is used. One process runs the store, the minions and the
clients; the entries and agents are started with the commands of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the users' site files, in seconds.
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_GRACE_S = 0.05
MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5
SERVICE, HOST, PREFIX = "order-desk", "desk.example", "/q/"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": HOST,
            "prefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 1500,
            "sloMs": 60,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": SERVICE, "enforcesCapacity": False, "standby": False}],
    "limits": {},
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


# HTTP.


async def read_message(reader):
    """Return start line, headers and body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def encode_response(status, body):
    content = json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


class HttpServer:
    """HTTP/1.1 server of a stand-in; `handle` returns a status and a body."""

    def __init__(self):
        self._server = None
        self._writers = set()

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self):
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, data = message
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = json.loads(data) if data else {}
                answer = await self.handle(
                    writer, method, url.path, query, headers, body
                )
                if answer is None:
                    continue
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, writer, method, path, query, headers, body):
        raise NotImplementedError


async def call(address, method, path, body=None, headers=(), timeout_s=30.0):
    """Send one request on a new connection; return status and body, or None."""
    host, port = address
    content = b"" if body is None else json.dumps(body).encode()
    head = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(content)}"]
    if not any(name == "Host" for name, _ in headers):
        head.append(f"Host: {host}:{port}")
    head += [f"{name}: {value}" for name, value in headers]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write("\r\n".join([*head, "", ""]).encode() + content)
                await writer.drain()
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    if message is None:
        return None
    line, _, data = message
    return int(line.split()[1]), (json.loads(data) if data else {})


# The platform's store.


class Store(HttpServer):
    """Metadata store: items, leases, watches and conditional writes.

    Attributes
    ----------
    is_down : bool
        Every call is answered with 503: nothing was done.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.is_down = False
        self.items, self.history, self.leases = {}, [], {}
        self.revision = 1
        self.last_keep = {}
        self.client_reads = []
        self._silent = set()
        self._lease_ids = iter(range(1, 1 << 30))
        self._changed = asyncio.Event()

    def silence_connections(self):
        """Let all open connections go silent for good; new ones work."""
        self._silent.update(self._writers)
        return len(self._silent)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._note(key, item, item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._note(key, None, event)

    def _note(self, key, item, event):
        if item is None:
            del self.items[key]
        else:
            self.items[key] = item
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (ends_at, _) in list(self.leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, writer, method, path, query, headers, body):
        if writer in self._silent:
            await asyncio.sleep(3600)
        if self.is_down:
            return 503, {}
        name = path.split("/")[2]
        if name == "kv-range":
            self.client_reads.append((time.monotonic(), query.get("prefix", "")))
        answer = await getattr(self, "_" + name.replace("-", "_"))(path, query, body)
        if writer in self._silent:
            await asyncio.sleep(3600)
        if self.is_down:
            return 503, {}
        return answer

    async def _kv_key(self, path, query, body):
        item = self.items.get(query["key"])
        if item is None:
            return 404, {"currentRev": self.revision}
        return 200, {**item, "currentRev": self.revision}

    async def _kv_range(self, path, query, body):
        after = query.get("after", "")
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query["prefix"]) and key > after
        ]
        return 200, {"items": items, "hasMore": False, "currentRev": self.revision}

    async def _kv_watch(self, path, query, body):
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0 or self.is_down:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.2)):
                    await self._changed.wait()

    async def _kv_txn(self, path, query, body):
        rows = body.get("expectedRev", [])
        current = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, current):
            if (item["revision"] if item else 0) != row["revision"]:
                shown = [
                    item or {"key": row["key"], "revision": 0}
                    for row, item in zip(rows, current)
                ]
                return 412, {"items": shown}
        puts = body.get("puts", [])
        if any(put.get("lease", 0) not in (0, *self.leases) for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def _kv_lease(self, path, query, body):
        lease, ttl_ms = next(self._lease_ids), body["ttlMs"]
        self.leases[lease] = time.monotonic() + ttl_ms / 1000, ttl_ms
        return 200, {"lease": lease, "ttlMs": ttl_ms}

    async def _kv_keep(self, path, query, body):
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = time.monotonic() + ttl_ms / 1000, ttl_ms
        for item in self.items.values():
            if item["lease"] == lease:
                self.last_keep[item["key"].rsplit("/", 1)[1]] = time.monotonic()
        return 200, {"ttlMs": ttl_ms}

    async def _kv_lease_end(self, path, query, body):
        self._end_lease(int(path.rsplit("/", 1)[1]))
        return 200, {}


# Minions.


class Minion(HttpServer):
    """Minion that runs tasks for the times that `taskSpec` names for their steps.

    `taskSpec` is a JSON list of seconds, one for each step. A minion keeps the rules of
    the users' pages: leases, run numbers, fencing tokens, incarnations and list of ends.
    """

    def __init__(self, lab, name, host, kind="a"):
        super().__init__()
        self.lab, self.name, self.host = lab, name, host
        self.instance = f"i-{name}"
        self.kind = kind
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = self.token = 0
        self.running, self.highest = {}, {}
        self.completions, self.next_number = [], 1
        self.lease_ends_ms = 0.0
        self.is_up = True
        self._ended = asyncio.Event()

    def clock_ms(self):
        return 1000 + (time.monotonic() - self.began) * 1000

    def heartbeat_body(self):
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": f"{self.host}:{self.lab.ports['app']}",
            "zone": "perth-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": 32000, "memMb": 131072, "gpu": 0},
            "labels": [self.kind, "r1-1"],
            "clockMs": round(self.clock_ms()),
            "born": self.born,
            "seq": self.sequence,
        }

    async def put_heartbeat(self, body):
        address = self.host, self.lab.ports["control"]
        path = f"/hornbeamshore/instances/{self.instance}"
        return await call(address, "PUT", path, body, timeout_s=1.0)

    async def announce(self):
        while True:
            answer = await self.put_heartbeat(self.heartbeat_body())
            await asyncio.sleep(HEARTBEAT_S if answer else 0.2)

    async def work(self):
        """End the runs that are done, and all of them when the lease ends."""
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock_ms() > self.lease_ends_ms:
                for key in list(self.running):
                    self._end(key, "lapsed")
            now = time.monotonic()
            for key, run in list(self.running.items()):
                if run["stops_at"] is not None and now >= run["stops_at"]:
                    self._end(key, "stopped")
                elif now >= run["ends_at"]:
                    self._end(key, "done")

    def _end(self, key, how):
        run = self.running.pop(key)
        task, number = key
        self.completions.append([self.next_number, task, number, how, ""])
        self.next_number += 1
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.lab.run_ended(self, task, number, how, run)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    def _renew(self, body):
        expires_ms = body.get("expiresAtMs")
        if expires_ms is not None:
            longest_ms = self.clock_ms() + MAX_HOLD_MS
            self.lease_ends_ms = max(self.lease_ends_ms, min(expires_ms, longest_ms))

    async def handle(self, writer, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("hornbeamshore-expect-instance", self.instance) != self.instance:
            return 421, {}
        clock = {"clockMs": round(self.clock_ms())}
        if body.get("fencingToken", 0) < self.token:
            return 409, {**clock, "reason": "fence"}
        self.token = body.get("fencingToken", 0)
        name = path.rsplit("/", 1)[1]
        if name == "run-start":
            return self._start(body, clock)
        if name == "run-stop":
            return self._stop(body, clock)
        if name == "hold":
            return await self._hold(body)
        return 400, clock

    def _start(self, body, clock):
        key = body["task"], body["runId"]
        if key in self.running:
            self._renew(body)
            return 200, clock
        if body["runId"] <= self.highest.get(body["task"], 0):
            self._renew(body)
            return 409, {**clock, "reason": "old"}
        if body["expiresAtMs"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self._renew(body)
        step = int(body["task"].split(".")[2])
        work_s = json.loads(body["taskSpec"])[step]
        now = time.monotonic()
        self.running[key] = {"began": now, "ends_at": now + work_s, "stops_at": None}
        self.lab.run_began(self, *key)
        return 200, clock

    def _stop(self, body, clock):
        key = body["task"], body["runId"]
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.running.get(key)
        if run is not None and run["stops_at"] is None:
            # A stop takes stopGraceMs at most.
            run["stops_at"] = time.monotonic() + 0.8 * STOP_GRACE_S
        return 200, clock

    async def _hold(self, body):
        self._renew(body)
        last_seen = body.get("lastSeen", 0)
        self.completions = [row for row in self.completions if row[0] > last_seen]
        ends_at = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.completions and (left_s := ends_at - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._ended.wait()
        now = time.monotonic()
        running = []
        for (task, number), run in self.running.items():
            share = (now - run["began"]) / max(run["ends_at"] - run["began"], 0.001)
            running.append([task, number, "", min(99, int(share * 100)), 1000])
        return 200, {
            "clockMs": round(self.clock_ms()),
            "born": self.born,
            "running": running,
            "completions": self.completions[:500],
        }


# The deployment.


class Lab:
    """Entries and agents as processes, with the stand-ins that they need."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.tmp = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.ports, self.processes, self.tasks = {}, {}, []
        self.hosts, self.minions = {}, {}
        # One row a run: minion, task, number, began, ended or None, how.
        self.runs = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}

    def say(self, text):
        self.record(text)

    def now(self):
        return self.record.now()

    async def open(self, fronts, sides, kinds=None):
        """Start the store, entries and agents with their minions.

        Parameters
        ----------
        fronts, sides : list of str
            Machines.
        kinds : dict of str to str or None
            Kinds of minions by machine; the others are of kind a.
        """
        store_host = f"{self.base}.200"
        for name in ("front", "ready", "control", "app", "inner", "store"):
            self.ports[name] = self._free_port(store_host)
        await self.store.listen(store_host, self.ports["store"])
        self.spawn(self.store.expire_leases())
        self.store.put("op/config", json.dumps(CONFIG).encode())
        number = 0
        for name in (*fronts, *sides):
            number += 1
            self.hosts[name] = f"{self.base}.{number}"
        # Machines that join later get an address now; the seeds are the first ones.
        self.seeds = [self.hosts[name] for name in fronts[:3]]
        for name in sides:
            kind = (kinds or {}).get(name, "a")
            minion = Minion(self, name, self.hosts[name], kind)
            self.minions[name] = minion
            await minion.listen(minion.host, self.ports["app"])
            self.spawn(minion.work())
            minion.announcing = self.spawn(minion.announce())
        for name in fronts:
            self.start("entry", name)
        for name in sides:
            self.start("agent", name)
        for name in fronts:
            await self.wait_ready(name)

    def add_host(self, name):
        self.hosts[name] = f"{self.base}.{100 + len(self.hosts)}"

    def _free_port(self, host):
        while True:
            with socket.socket() as sock:
                sock.bind((host, 0))
                port = sock.getsockname()[1]
            if port not in self.ports.values():
                return port

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    def start(self, role, name):
        """Start the program of a role on a machine, as the deploy file says."""
        host, ports = self.hosts[name], self.ports
        fields = {
            "node": name,
            "role": role,
            "ip": host,
            "zone": "perth-a",
            "region": "scot-central",
            "zones.perth-a": "scot-central",
            "portRange": f"{ports['inner']},{ports['inner'] + 15}",
            "seeds": ",".join(f"{seed}:{ports['control']}" for seed in self.seeds),
            "bootstrap": "true",
            "heartbeatMs": "1500",
            "bounds.graceS": "6",
            "bounds.configApplyMs": "2000",
            "bounds.maxHoldMs": "1000",
            "platform.address": f"{self.base}.200:{ports['store']}",
        }
        if role == "entry":
            fields["listen.front"] = f"{host}:{ports['front']}"
            fields["listen.ready"] = f"{host}:{ports['ready']}"
        else:
            fields["listen.control"] = f"{host}:{ports['control']}"
            fields["app"] = f"{host}:{ports['app']}"
            fields["service"] = SERVICE
        folder = pathlib.Path(self.tmp.name)
        path = folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        environ = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HORNBEAMSHORE_BOOT": str(path),
        }
        log = open(folder / f"{name}.log", "ab")
        self.say(f"process {name} ({role}) is started")
        self.processes[name] = subprocess.Popen(
            self.commands[role].split(),
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def kill(self, name, signum=signal.SIGKILL):
        self.say(f"process {name} gets signal {signal.Signals(signum).name}")
        self.processes[name].send_signal(signum)
        if signum == signal.SIGKILL:
            self.processes[name].wait()

    async def wait_ready(self, name, timeout_s=30.0):
        address = self.hosts[name], self.ports["ready"]
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            answer = await call(address, "GET", "/hornbeamshore/ready", timeout_s=1.0)
            if answer is not None and answer[0] == 200:
                self.say(f"{name} reports itself ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{name} is not ready")

    async def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self.tasks:
            task.cancel()
        await self.store.close()
        for minion in self.minions.values():
            await minion.close()
        if os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(self.tmp.name).glob("*.log"):
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                target.write_bytes(path.read_bytes())
        self.tmp.cleanup()
        self.record.close()

    # What minions have seen.

    def run_began(self, minion, task, number):
        self.say(f"{minion.name}: start of {task} run {number}")
        row = {
            "minion": minion.name,
            "task": task,
            "number": number,
            "began": self.now(),
            "kind": minion.kind,
            "ended": None,
            "how": "",
        }
        self.runs.append(row)

    def run_ended(self, minion, task, number, how, run):
        self.say(f"{minion.name}: end of {task} run {number}: {how}")
        for row in self.runs:
            if (row["minion"], row["task"], row["number"]) == (
                minion.name,
                task,
                number,
            ) and row["ended"] is None:
                row["ended"], row["how"] = self.now(), how

    def runs_of(self, job_id):
        return [row for row in self.runs if row["task"].startswith(job_id + ".")]

    def open_runs(self, job_id):
        return [row for row in self.runs_of(job_id) if row["ended"] is None]

    # Clients.

    def job(self, seconds, count=1):
        """Return a job with one step for each number of seconds, one after the other."""
        steps = []
        for index, work_s in enumerate(seconds):
            step = {"count": count, "cpu": 2000, "memMb": 256}
            step["estimateMs"] = round(work_s * 1000)
            if index:
                step["after"] = [index - 1]
            steps.append(step)
        return {"taskSpec": json.dumps(seconds), "bestEffort": True, "steps": steps}

    def submit(self, front, job_id, job, deadline_ms=30000):
        """Send a job; return the task whose result is the answer."""

        async def send():
            self.say(f"client: POST {job_id} to {front}")
            answer = await call(
                (self.hosts[front], self.ports["front"]),
                "POST",
                PREFIX + job_id,
                job,
                [("Host", HOST), ("Hornbeamshore-Deadline-Ms", deadline_ms)],
                timeout_s=deadline_ms / 1000,
            )
            self.say(f"client: answer to POST {job_id} from {front}: {answer}")
            return answer

        return self.spawn(send())

    async def cancel(self, front, job_id):
        """Cancel a job at an entry; return status and time of the answer."""
        self.say(f"client: DELETE {job_id} to {front}")
        answer = await call(
            (self.hosts[front], self.ports["front"]),
            "DELETE",
            PREFIX + job_id,
            None,
            [("Host", HOST), ("Hornbeamshore-Deadline-Ms", 4000)],
            timeout_s=4.0,
        )
        self.say(f"client: answer to DELETE {job_id} from {front}: {answer}")
        return (answer[0] if answer else None), self.now()

    async def wait_running(self, job_id, timeout_s=10.0):
        ends_at = time.monotonic() + timeout_s
        while not self.open_runs(job_id):
            if time.monotonic() > ends_at:
                raise CannotRun(f"no task of {job_id} has begun")
            await asyncio.sleep(0.01)

    def judge_unasked(self, job_id, acked_at, calm_from, checked_at):
        """Return 1 if UNASKED is broken for a job whose cancelling was acknowledged.

        Parameters
        ----------
        acked_at : float
            Time of the acknowledgement.
        calm_from : float
            Time from which all machines are in touch: `contactMs` after the end of the
            last disruption.
        checked_at : float
            Time of this call.
        """
        late = [
            row
            for row in self.runs_of(job_id)
            if row["began"] > max(acked_at + CANCEL_S, calm_from)
        ]
        for row in late:
            self.say(
                f"UNASKED: {row['task']} was started {row['began'] - acked_at:.2f} s"
                " after the acknowledgement, by a machine in touch"
            )
        gone_by = max(acked_at, calm_from) + CANCEL_S + STOP_GRACE_S
        left = [
            row
            for row in self.runs_of(job_id)
            if row["began"] < gone_by and (row["ended"] or checked_at) > gone_by + 0.1
        ]
        for row in left:
            self.say(
                f"UNASKED: {row['task']} ran on after {gone_by:.2f}, cancel_ms +"
                " stopGraceMs without a disruption after the acknowledgement"
            )
        return 1 if late or left else 0

    def judge_twice(self, job_id):
        """Return 1 if two runs of one task were at work at the same time."""
        broken = 0
        rows = self.runs_of(job_id)
        for index, first in enumerate(rows):
            for second in rows[index + 1 :]:
                if first["task"] != second["task"]:
                    continue
                begins = max(first["began"], second["began"])
                ends = min(first["ended"] or self.now(), second["ended"] or self.now())
                if ends > begins:
                    broken = 1
                    self.say(
                        f"TWICE: {first['task']} ran on {first['minion']} and"
                        f" {second['minion']} for {(ends - begins) * 1000:.0f} ms"
                    )
        return broken

    def judge_route(self, job_id, label):
        """Return 1 if a task was started on a minion without its required label."""
        wrong = [row for row in self.runs_of(job_id) if row["kind"] != label]
        for row in wrong:
            self.say(
                f"ROUTE: {row['task']} requires {label} and was started on"
                f" {row['minion']}, which is of kind {row['kind']}"
            )
        return 1 if wrong else 0


def main(folder, play):
    """Play a case; exit with 0 if the rule held, 1 if not, 2 if it could not run."""

    async def run():
        lab = Lab(folder)
        lab.say(f"trouble: {int(lab.trouble)}")
        try:
            async with asyncio.timeout(110):
                result = await play(lab)
        except Exception as exc:
            lab.say(f"could not run: {exc!r}")
            result = 2
        finally:
            lab.say(f"result: {result if 'result' in locals() else 2}")
            await lab.close()
        return result

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        result = asyncio.run(run())
    except Exception:
        # Python exits with 1 on an error, which would read as a broken rule.
        traceback.print_exc()
        result = 2
    sys.exit(result)
