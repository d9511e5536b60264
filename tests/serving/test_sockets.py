"""Tests of sockets that are bound before a process imports its libraries."""

import contextlib
import socket

import trio

from hornbeamshore.serving.lifecycle import listen
from hornbeamshore.serving.sockets import PreboundSockets


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def test_connection_made_before_the_server_runs_is_served():
    """Guards against connections that are refused while a process starts."""
    prebound_sockets, address = PreboundSockets(), free_address()
    prebound_sockets.bind(address)
    host, _, port = address.rpartition(":")
    async with contextlib.AsyncExitStack() as stack:
        caller = await stack.enter_async_context(
            await trio.open_tcp_stream(host, int(port))
        )
        await caller.send_all(b"early")
        (listener,) = await listen(stack, address, prebound_sockets)
        served = await stack.enter_async_context(await listener.accept())
        assert await served.receive_some(5) == b"early"
    assert prebound_sockets.pop(address) is None


async def test_address_without_prebound_socket_is_bound_by_listen():
    """Guards against a server that needs its address to be bound in advance."""
    async with contextlib.AsyncExitStack() as stack:
        assert await listen(stack, free_address(), PreboundSockets())
