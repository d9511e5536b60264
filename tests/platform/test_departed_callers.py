"""Requests that are read after their callers have closed their connections."""

import contextlib
import json
import socket
import struct

import pytest
import trio

from hornbeamshore.dispatch.coordinator import Coordinator
from hornbeamshore.dispatch.metrics import DispatchMetrics
from hornbeamshore.dispatch.model import Queue, Routing
from hornbeamshore.dispatch.presence import SocketPresence
from hornbeamshore.dispatch.routing import RoutingReplica
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.platform.ingress import IngressApi
from hornbeamshore.serving.http_server import open_http_listeners, serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.shutdown import Shutdown
from hornbeamshore.wire.messages import RunTasks

from ..dispatch.conftest import FakeAgent
from .test_ingress import JOB

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# No job is late, however slow the machine is.
QUEUE = Queue("q", "desk.example", "/p/", "order-desk", objective_s=600.0)


def encode_request(job_id):
    body = json.dumps(JOB).encode()
    head = (
        f"POST /p/{job_id} HTTP/1.1\r\nHost: desk.example\r\n"
        f"Content-Length: {len(body)}\r\nHornbeamshore-Deadline-Ms: 500000\r\n\r\n"
    )
    return head.encode() + body


def close(client):
    client.close()


def reset(client):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()


def request_again_and_close(client):
    client.sendall(encode_request("further"))
    client.close()


def half_close(client):
    client.shutdown(socket.SHUT_WR)


@contextlib.asynccontextmanager
async def listening_entry():
    """Yield a function that starts to serve, an agent and the address of an entry."""
    async with trio.open_nursery() as nursery:
        coordinator = Coordinator(
            DispatchSettings("perth"), DispatchMetrics(), presence=SocketPresence()
        )
        agent = FakeAgent(coordinator, "agent-1")
        agent.report(held=())
        replica = RoutingReplica()
        replica.update(Routing(1, (QUEUE,)))
        listeners = await open_http_listeners("127.0.0.1", 0)
        shutdown = Shutdown()
        app = IngressApi(coordinator, replica, None, shutdown)

        def serve():
            nursery.start_soon(coordinator.run)
            nursery.start_soon(serve_http, app, listeners, HttpSettings(), shutdown)

        yield serve, agent, listeners[0].socket.getsockname()
        nursery.cancel_scope.cancel()


def ordered_jobs(agent):
    return {body.job_id for body in agent.sent if isinstance(body, RunTasks)}


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await trio.sleep(0.005)


@pytest.mark.parametrize("leave", [close, reset, request_again_and_close, half_close])
async def test_callers_that_left_before_their_request_was_read_get_no_run(leave):
    """Guards against runs of jobs that their callers have submitted elsewhere.

    The requests wait in the backlog of an entry that was suspended.
    """
    async with listening_entry() as (serve, agent, address):
        with contextlib.ExitStack() as stack:
            for number in range(20):
                client = stack.enter_context(socket.create_connection(address))
                client.sendall(encode_request(f"left-{number}"))
                leave(client)
            present = stack.enter_context(socket.create_connection(address))
            present.sendall(encode_request("present"))
            serve()
            await wait_until(lambda: ordered_jobs(agent))
            await trio.sleep(0.1)
            assert ordered_jobs(agent) == {"present"}


async def test_the_run_of_a_caller_that_left_behind_a_further_request_is_stopped():
    """Guards against a run that goes on because the disconnect cannot be read."""
    async with listening_entry() as (serve, agent, address):
        with socket.create_connection(address) as client:
            client.sendall(encode_request("first") + encode_request("further"))
            serve()
            await wait_until(lambda: "first" in ordered_jobs(agent))
        await wait_until(lambda: agent.stopped_run_ids)
        assert set(agent.stopped_run_ids) == set(agent.orders)
