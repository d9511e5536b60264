"""Stand-in for a target: an HTTP/1.1 server whose tasks sleep and echo.

The JSON body of a task may contain ``run_ms`` (run time in milliseconds), ``echo``
(value to return) and ``fail`` (whether to fail with status 500). The log has one JSON
line for each start and each end of a task, so that tests can compare the tasks that
ran with the replies to callers. ``POST /faults`` sets the faults of all tasks.
"""

import contextlib
import dataclasses
import json
import time
from dataclasses import dataclass
from pathlib import Path

import fire
import h11
import trio

MAX_CONNECTIONS = 64
READ_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults to inject into each task.

    Attributes
    ----------
    fail : bool
        Whether tasks run and then fail with status 500.
    stall : bool
        Whether tasks start but do not finish.
    drop : bool
        Whether tasks run and the connection is then closed without a response.
    slow : float
        Factor by which the run times are multiplied.
    """

    fail: bool = False
    stall: bool = False
    drop: bool = False
    slow: float = 1.0


class StandinTarget:
    """HTTP server that simulates a target.

    Parameters
    ----------
    speed : float
        Speed relative to the nominal speed; divides all run times.
    log : file or None
        Text file for the start and end events of tasks; None to log nothing.

    Attributes
    ----------
    faults : Faults
        Current faults.
    """

    def __init__(self, speed=1.0, log=None):
        self.speed = speed
        self.faults = Faults()
        self._log = log
        self._faults_changed = trio.Event()
        self._connections = 0

    def set_faults(self, **changes):
        """Change some faults; stalled tasks continue once `stall` is false."""
        self.faults = dataclasses.replace(self.faults, **changes)
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    async def serve(self, listeners):
        """Accept connections until cancelled."""
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream):
        async with stream:
            if self._connections >= MAX_CONNECTIONS:
                return
            self._connections += 1
            try:
                with contextlib.suppress(
                    h11.RemoteProtocolError,
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                ):
                    await self._serve_requests(stream)
            finally:
                self._connections -= 1

    async def _serve_requests(self, stream):
        http = h11.Connection(h11.SERVER)
        while True:
            req = await _next_event(http, stream)
            if not isinstance(req, h11.Request):
                return
            body = bytearray()
            while isinstance(event := await _next_event(http, stream), h11.Data):
                body += event.data
            response = await self._handle_request(req, bytes(body))
            if response is None:
                return
            await stream.send_all(_encode_response(http, *response))
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _handle_request(self, req, body):
        try:
            task = json.loads(body or b"{}")
            if req.target.endswith(b"/faults"):
                self.set_faults(**task)
                return 200, {}
            run_s = float(task.get("run_ms", 0)) / 1000 / self.speed
        except (ValueError, TypeError, AttributeError) as exc:
            return 400, {"error": str(exc)}
        headers = dict(req.headers)
        faults = self.faults
        self._log_event(headers, "start")
        while self.faults.stall:
            await self._faults_changed.wait()
        await trio.sleep(run_s * faults.slow)
        self._log_event(headers, "end")
        if faults.drop:
            return None
        failed = faults.fail or task.get("fail", False)
        return 500 if failed else 200, {"echo": task.get("echo")}

    def _log_event(self, headers, event):
        if self._log is None:
            return
        line = {
            "unix_ms": time.time_ns() // 1_000_000,
            "event": event,
            "job": headers.get(b"hornbeamshore-job", b"").decode(),
            "index": int(headers.get(b"hornbeamshore-task", b"-1")),
            "attempt": int(headers.get(b"hornbeamshore-attempt", b"0")),
        }
        self._log.write(json.dumps(line) + "\n")
        self._log.flush()


async def _next_event(http, stream):
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await stream.receive_some(READ_BYTES))
    return event


def _encode_response(http, status, content):
    body = json.dumps(content).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    events = (
        h11.Response(status_code=status, headers=headers),
        h11.Data(body),
        h11.EndOfMessage(),
    )
    return b"".join(http.send(event) for event in events)


def main(port=0, speed=1.0, log=None, host="127.0.0.1"):
    """Serve on a port and print the address on one line.

    Parameters
    ----------
    port : int
        Port; 0 to let the kernel assign one.
    speed : float
        Speed relative to the nominal speed.
    log : str or None
        Path of the event log.
    host : str
        Address to bind.
    """
    with contextlib.ExitStack() as stack:
        if log is not None:
            log = stack.enter_context(Path(log).open("a", encoding="utf-8"))
        trio.run(_main, host, port, speed, log)


async def _main(host, port, speed, log):
    target = StandinTarget(speed, log)
    listeners = await trio.open_tcp_listeners(port, host=host)
    print(f"{host}:{listeners[0].socket.getsockname()[1]}", flush=True)
    await target.serve(listeners)


if __name__ == "__main__":
    fire.Fire(main)
