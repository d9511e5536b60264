"""In-memory connections between real processes, controlled by a test."""

import itertools

import trio
import trio.testing

from hornbeamshore.wire.connection import CallTimeout, ConnectionLost, NotSent
from hornbeamshore.wire.messages import Fence, Message, Release, Start, TaskDone

# Messages that are delivered only by a step of the test.
HELD_TYPES = (Fence, Release, Start, TaskDone)
# Longer than `suspect_after`, so that the leases from silent agents expire.
ADVANCE_S = 1.6
TICK_S = 0.2


class Endpoint:
    """One side of an in-memory connection.

    Has the methods of `Connection` that entries and agents call.
    """

    def __init__(self, network, peer, handler):
        self.network, self.peer, self.handler = network, peer, handler
        self.is_open, self.closed_by_peer = True, False
        self.remote = None
        self._message_ids = itertools.count(1)
        self._calls = {}

    def send(self, body, reply_to=0):
        if not self.is_open:
            raise NotSent("closed")
        message = Message(next(self._message_ids), reply_to, body)
        self.network.transmit(self, message)
        return message.id

    def try_send(self, body, reply_to=0):
        try:
            self.send(body, reply_to)
        except NotSent:
            return False
        return True

    async def call(self, body, timeout_s):
        message_id = self.send(body)
        self._calls[message_id], channel = trio.open_memory_channel(1)
        try:
            with trio.fail_after(timeout_s):
                return await channel.receive()
        except trio.TooSlowError:
            raise CallTimeout(f"{type(body).__name__}: no reply") from None
        except trio.EndOfChannel:
            raise ConnectionLost(f"{type(body).__name__}: lost") from None
        finally:
            self._calls.pop(message_id, None)

    def receive_message(self, message):
        """Pass a received message to the waiting call or, if open, to the handler."""
        channel = self._calls.pop(message.reply_to, None)
        if channel is not None:
            channel.send_nowait(message.body)
            channel.close()
        elif self.is_open and not message.reply_to:
            self.handler.handle(self, message)

    def close(self):
        """Close both sides; the other side sees a connection closed by its peer."""
        if self.is_open:
            self.mark_closed()
            self.network.call_soon(self.remote.mark_closed, by_peer=True)

    def mark_closed(self, *, by_peer=False):
        """Close this side only, and schedule `closed` on its handler."""
        if not self.is_open:
            return
        self.is_open, self.closed_by_peer = False, by_peer
        for channel in self._calls.values():
            channel.close()
        self.network.call_soon(self.handler.closed, self)


class Network:
    """In-memory network that holds back the messages that a test delivers itself.

    Attributes
    ----------
    holds_messages : bool
        Whether messages of the types in `HELD_TYPES` are held back.
    held : list of (Endpoint, Message)
        Messages held back, each with the endpoint that sent it.
    broken_links : set of frozenset
        Pairs of process ids whose messages are dropped.
    paused_messages : dict of str to list
        Messages that wait for a paused process, by process id.
    connections : dict
        Endpoints of the last connection between two processes, by process ids.
    """

    def __init__(self, clock):
        self.clock = clock
        self.holds_messages = True
        self.held = []
        self.broken_links = set()
        self.paused_messages = {}
        self.connections = {}
        self._scheduled_calls = []

    def connect(self, first, first_handler, second, second_handler):
        """Connect two processes, given the identity and message handler of each."""
        endpoints = (
            Endpoint(self, second, first_handler),
            Endpoint(self, first, second_handler),
        )
        endpoints[0].remote, endpoints[1].remote = endpoints[1], endpoints[0]
        self.connections[first.process_id, second.process_id] = endpoints
        second_handler.opened(endpoints[1])
        first_handler.opened(endpoints[0])

    def transmit(self, endpoint, message):
        """Hold back, schedule or drop a message sent from an endpoint."""
        if self.is_link_broken(endpoint):
            return
        if self.holds_messages and isinstance(message.body, HELD_TYPES):
            self.held.append((endpoint, message))
        else:
            self.call_soon(self.deliver, endpoint, message)

    def deliver(self, endpoint, message):
        """Deliver a message, or queue it if either process is paused."""
        for process_id in (endpoint.peer.process_id, endpoint.remote.peer.process_id):
            if process_id in self.paused_messages:
                self.paused_messages[process_id].append((endpoint, message))
                return
        endpoint.remote.receive_message(message)

    def is_link_broken(self, endpoint):
        pair = frozenset((endpoint.peer.process_id, endpoint.remote.peer.process_id))
        return pair in self.broken_links

    def call_soon(self, action, *args, **options):
        """Schedule a call that `run_until_idle` makes once all tasks are blocked."""
        self._scheduled_calls.append((action, args, options))

    async def run_until_idle(self):
        """Run tasks and scheduled calls until all tasks block and no call is left."""
        await trio.testing.wait_all_tasks_blocked()
        while self._scheduled_calls:
            action, args, options = self._scheduled_calls.pop(0)
            action(*args, **options)
            await trio.testing.wait_all_tasks_blocked()

    async def advance_time(self):
        """Advance the clock until leases from silent processes expire.

        Connections to paused or unreachable processes are closed; other leases are
        renewed meanwhile.
        """
        for _ in range(round(ADVANCE_S / TICK_S)):
            self.clock.jump(TICK_S)
            await self.run_until_idle()
        for endpoints in self.connections.values():
            ids = {endpoint.peer.process_id for endpoint in endpoints}
            if self.is_link_broken(endpoints[0]) or ids & set(self.paused_messages):
                for endpoint in endpoints:
                    endpoint.mark_closed()
        await self.run_until_idle()
