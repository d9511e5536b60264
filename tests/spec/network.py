"""In-memory connections between real processes, controlled by a test."""

import itertools

import trio
import trio.testing

from hornbeamshore.wire.connection import CallTimeout, ConnectionLost, NotSent
from hornbeamshore.wire.messages import Fence, Message, Release, Start, TaskDone

# Messages that are delivered only by a step of the test.
HELD = (Fence, Release, Start, TaskDone)
# Longer than `suspect_after`, so that the leases from silent agents expire.
PASS_S = 1.6
TICK_S = 0.2


class End:
    """One side of a connection, with the methods of `Connection` that are used."""

    def __init__(self, network, peer, handler):
        self.network, self.peer, self.handler = network, peer, handler
        self.is_open, self.ended_by_peer = True, False
        self.other = None
        self._ids = itertools.count(1)
        self._calls = {}

    def send(self, body, reply_to=0):
        if not self.is_open:
            raise NotSent("closed")
        message = Message(next(self._ids), reply_to, body)
        self.network.carry(self, message)
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

    def take(self, message):
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
            self.end()
            self.network.after(self.other.end, by_peer=True)

    def end(self, *, by_peer=False):
        """Close this side only, and schedule `closed` on its handler."""
        if not self.is_open:
            return
        self.is_open, self.ended_by_peer = False, by_peer
        for channel in self._calls.values():
            channel.close()
        self.network.after(self.handler.closed, self)


class Network:
    """In-memory network that holds back the messages that steps deliver.

    Attributes
    ----------
    holds : bool
        Whether messages of the types in `HELD` are held back.
    held : list of (End, Message)
        Messages held back, each with the end that sent it.
    cut : set of frozenset
        Pairs of process ids whose messages are dropped.
    stopped : dict of str to list
        Messages that wait for a paused process, by process id.
    links : dict
        Ends of the last connection between two processes, by process ids.
    """

    def __init__(self, clock):
        self.clock = clock
        self.holds = True
        self.held = []
        self.cut = set()
        self.stopped = {}
        self.links = {}
        self._due = []

    def connect(self, one, one_handler, two, two_handler):
        """Connect two processes, given the identity and message handler of each."""
        ends = (End(self, two, one_handler), End(self, one, two_handler))
        ends[0].other, ends[1].other = ends[1], ends[0]
        self.links[one.process_id, two.process_id] = ends
        two_handler.opened(ends[1])
        one_handler.opened(ends[0])

    def carry(self, end, message):
        """Hold back, schedule or drop a message sent from an end."""
        if self.is_cut(end):
            return
        if self.holds and isinstance(message.body, HELD):
            self.held.append((end, message))
        else:
            self.after(self.arrive, end, message)

    def arrive(self, end, message):
        """Deliver a message, or queue it if either process is paused."""
        for process_id in (end.peer.process_id, end.other.peer.process_id):
            if process_id in self.stopped:
                self.stopped[process_id].append((end, message))
                return
        end.other.take(message)

    def is_cut(self, end):
        pair = frozenset((end.peer.process_id, end.other.peer.process_id))
        return pair in self.cut

    def after(self, action, *args, **options):
        """Schedule a call for `settle`, once all tasks are blocked."""
        self._due.append((action, args, options))

    async def settle(self):
        """Run tasks and scheduled calls until only a step or the clock causes more."""
        await trio.testing.wait_all_tasks_blocked()
        while self._due:
            action, args, options = self._due.pop(0)
            action(*args, **options)
            await trio.testing.wait_all_tasks_blocked()

    async def pass_time(self):
        """Advance the clock until leases from silent processes expire.

        Connections to paused or unreachable processes are closed; other leases are
        renewed meanwhile.
        """
        for _ in range(round(PASS_S / TICK_S)):
            self.clock.jump(TICK_S)
            await self.settle()
        for ends in self.links.values():
            ids = {end.peer.process_id for end in ends}
            if self.is_cut(ends[0]) or ids & set(self.stopped):
                for end in ends:
                    end.end()
        await self.settle()
