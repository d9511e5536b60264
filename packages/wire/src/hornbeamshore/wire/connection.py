"""Connections between processes: messages, calls and heartbeats over one stream.

One task runs each connection from the handshake to its end and reads messages. Its
child task writes all messages queued since the previous write as one frame, sends a
heartbeat when no message was queued for a heartbeat interval, and closes the connection
when the peer is silent for too long. Both times are longer while the connection is
idle, that is, while nothing depends on the prompt detection of its loss.
"""

import abc
import itertools
import socket
import struct
from dataclasses import dataclass

import trio

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration
from hornbeamshore.wire import codec, framing, handshake
from hornbeamshore.wire.clocks import PeerClock, Timing
from hornbeamshore.wire.messages import Heartbeat, Message

MAX_OUTBOX_MESSAGES = 100_000

# Value of SO_LINGER: a close resets the connection at once.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

log = PartLogger("wire")


class ConnectionLost(Exception):  # noqa: N818
    """The connection could not be opened, or ended before the operation completed."""


class ConnectionRefused(ConnectionLost):
    """The peer's host refused the connection: no process listens on the port."""


class NotSent(ConnectionLost):
    """The connection was already closed; the message was not queued."""


class CallTimeout(Exception):  # noqa: N818
    """The peer did not reply in time; the outcome of the call is unknown."""


@dataclass(frozen=True, slots=True)
class WireSettings:
    """Settings of the connections between processes.

    Attributes
    ----------
    heartbeat_every : Duration
        Maximum interval between messages to a peer on an active connection.
    suspect_after : Duration
        Silence of a peer after which an active connection is closed.
    idle_heartbeat_every, idle_suspect_after : Duration or None
        The same for an idle connection; None for the values of an active one.
    dead_after : Duration
        Time without a connection after which a peer is considered lost; also the
        timeout of one write.
    redial_after : Duration
        Delay between connection attempts.
    dial_timeout : Duration
        Timeout for connecting including the handshake, and for an accepted
        connection to complete its handshake.
    """

    heartbeat_every: Duration = Duration(0.5)
    suspect_after: Duration = Duration(1.5)
    dead_after: Duration = Duration(6.0)
    redial_after: Duration = Duration(0.2)
    dial_timeout: Duration = Duration(handshake.HANDSHAKE_TIMEOUT_S)
    idle_heartbeat_every: Duration | None = None
    idle_suspect_after: Duration | None = None

    def heartbeat_interval_s(self, *, is_active):
        """Return the maximum interval between messages to a peer, in seconds."""
        if is_active or self.idle_heartbeat_every is None:
            return self.heartbeat_every
        return self.idle_heartbeat_every

    def silence_limit_s(self, *, is_active):
        """Return the silence of a peer that closes its connection, in seconds."""
        if is_active or self.idle_suspect_after is None:
            return self.suspect_after
        return self.idle_suspect_after


class MessageHandler(abc.ABC):
    """Callbacks for connection events and incoming messages.

    They run in the connection's task and must not block. A reply that is not available
    immediately is sent later with ``conn.send(body, reply_to=message.id)``.
    """

    @abc.abstractmethod
    def handle(self, conn, message):
        """Process a message that is not a reply to a call of this process."""

    def opened(self, conn):  # noqa: B027
        """Process a new connection, after its handshake."""

    def closed(self, conn):  # noqa: B027
        """Process the end of a connection, whatever its cause."""

    def heartbeat(self):
        """Return the message body to send as a heartbeat."""
        return Heartbeat()

    def before_write(self, conn):  # noqa: B027
        """Send the messages that were deferred to the next write of a connection.

        Called just before queued messages or a heartbeat are written, so that one
        message can cover all changes since the previous write.
        """


class Connection:
    """Connection to one authenticated peer.

    Parameters
    ----------
    stream : trio.abc.Stream
        Stream to the peer, after the handshake.
    peer : Identity
        Authenticated identity of the peer.
    cfg : WireSettings
        Heartbeat interval and timeouts.
    reader : FrameReader or None
        Reader used for the handshake, which may have buffered further bytes.
    clock : callable
        Returns the time in seconds by which the age of messages is measured; it
        includes the time for which the host is suspended.
    begun_at : float or None
        Time on the clock at which the handshake began, before which the peer cannot
        have sent anything on the connection; None for now.

    Attributes
    ----------
    is_open : bool
        Whether messages can be sent.
    is_active : bool
        Whether the times for active connections apply; see `set_active`.
    messages_sent, messages_received, bytes_sent, bytes_received : int
        Totals since the connection opened; bytes exclude the length prefixes.
    last_received_at : float
        Trio time at which the last frame from the peer was received.
    sent_at : float
        Time on the clock at or after which the peer has sent the messages that are
        being handled.
    closed_by_peer : bool
        Whether the stream was closed or reset by the peer or its host, rather than
        closed by this process, for example after a timeout.
    """

    def __init__(
        self, stream, peer, cfg, reader=None, clock=boot_time_s, begun_at=None
    ):
        self.peer = peer
        self.cfg = cfg
        self.sent_at = clock() if begun_at is None else begun_at
        self.is_open = self.is_active = True
        self.closed_by_peer = False
        self.last_received_at = self._active_since = trio.current_time()
        self.messages_sent = self.messages_received = 0
        self.bytes_sent = self.bytes_received = 0
        self._stream = stream
        self._reader = reader or framing.FrameReader(stream)
        self._reader.max_bytes = framing.MAX_FRAME_BYTES
        self._message_ids = itertools.count(1)
        self._clock = clock
        self._peer_clock = PeerClock()
        self._outbox = []
        self._oldest_decided_at = 0.0
        self._write_requested = trio.Event()
        self._is_writing = False
        self._write_expires_at = 0.0
        self._write_scope = trio.CancelScope()
        self._flush_done = trio.Event()
        self._reply_channels = {}
        self._cancel_scope = trio.CancelScope()

    def __repr__(self):
        return f"<Connection to {self.peer.kind} {self.peer.process_id}>"

    def send(self, body, reply_to=0, decided_at=None):
        """Queue a message and return its id.

        A connection with more than `MAX_OUTBOX_MESSAGES` queued messages is closed.

        Parameters
        ----------
        decided_at : float or None
            Time on the clock from which the age of the message counts, if what it says
            was decided earlier; None for now.

        Raises
        ------
        NotSent
            If the connection is closed.
        """
        if not self.is_open:
            raise NotSent(f"{self!r} is already closed")
        message = Message(next(self._message_ids), reply_to, body)
        decided_at = self._clock() if decided_at is None else decided_at
        if self._outbox:
            decided_at = min(decided_at, self._oldest_decided_at)
        self._oldest_decided_at = decided_at
        self._outbox.append(message)
        if len(self._outbox) > MAX_OUTBOX_MESSAGES:
            log.warning("send queue full peer=%s", self.peer.process_id)
            self.close()
        self._write_requested.set()
        return message.id

    def try_send(self, body, reply_to=0):
        """Queue a message; return False if the connection is closed."""
        try:
            self.send(body, reply_to)
        except ConnectionLost:
            return False
        return True

    def set_active(self, is_active):
        """Set whether the connection is active, which it is when it opens.

        The silence of the peer counts from the change to active at the earliest, since
        an idle peer sends less often.
        """
        if is_active == self.is_active:
            return
        self.is_active = is_active
        if is_active:
            self._active_since = trio.current_time()
            self._write_requested.set()

    def request_write(self):
        """Call `MessageHandler.before_write` in this turn and write its messages."""
        self._write_requested.set()

    async def call(self, body, timeout_s):
        """Send a message and return the body of its reply.

        Raises
        ------
        ConnectionLost
            If the connection ends before the reply; the peer may have received the
            call, except if the subclass `NotSent` is raised.
        CallTimeout
            If no reply arrives within `timeout_s` seconds.
        """
        message_id = self.send(body)
        reply_sender, reply_receiver = trio.open_memory_channel(1)
        self._reply_channels[message_id] = reply_sender
        try:
            with trio.fail_after(timeout_s):
                return await reply_receiver.receive()
        except trio.TooSlowError:
            raise CallTimeout(f"{self!r}: no reply within {timeout_s} s") from None
        except trio.EndOfChannel:
            raise ConnectionLost(f"{self!r} ended before the reply") from None
        finally:
            self._reply_channels.pop(message_id, None)

    async def flush(self):
        """Wait until all queued messages are written to the stream.

        Raises
        ------
        ConnectionLost
            If the connection ends before that.
        """
        while self.is_open and (self._outbox or self._is_writing):
            await self._flush_done.wait()
        if not self.is_open:
            raise ConnectionLost(f"{self!r} ended before queued messages were written")

    def close(self):
        """Close the connection; pending calls raise `ConnectionLost`."""
        self.is_open = False
        self._cancel_scope.cancel()
        self._write_requested.set()

    def _abort(self):
        """Close the connection and discard the messages that are not delivered yet.

        Without this, the system would go on sending them and deliver them once a
        partition ends, when their effect may have been given up.
        """
        if isinstance(self._stream, trio.SocketStream):
            self._stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self.close()

    async def run(self, handler):
        """Process messages until the connection ends.

        An error of the handler ends this connection only: the values of a well-formed
        message may be invalid, and the process serves other peers.

        Parameters
        ----------
        handler : MessageHandler
            Receives the events of the connection.
        """
        try:
            handler.opened(self)
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write_loop, handler)
                    await self._read_loop(handler)
                    nursery.cancel_scope.cancel()
        except* Exception as exc_group:
            log.exception(
                "connection ended by an error peer=%s error=%r",
                self.peer.process_id,
                exc_group.exceptions[0],
            )
        finally:
            self.is_open = False
            self._flush_done.set()
            for channel in self._reply_channels.values():
                channel.close()
            handler.closed(self)

    async def _read_loop(self, handler):
        while True:
            payload = await self._read_frame()
            if payload is None:
                self.closed_by_peer = True
                return
            self.last_received_at = trio.current_time()
            self.bytes_received += len(payload)
            self._write_scope.deadline = self._write_deadline()
            if not self._handle_payload(payload, handler):
                return

    async def _read_frame(self):
        """Return the next payload, or None if the stream has ended or failed."""
        try:
            return await self._reader.read()
        except (framing.FramingError, trio.BrokenResourceError) as exc:
            log.info("connection failed peer=%s: %s", self.peer.process_id, exc)
        except trio.ClosedResourceError:
            pass
        return None

    def _handle_payload(self, payload, handler):
        try:
            messages, timing = codec.decode_timed_batch(payload)
        except codec.CodecError as exc:
            log.warning("invalid frame received peer=%s: %s", self.peer.process_id, exc)
            return False
        self._apply_timing(timing)
        self.messages_received += len(messages)
        for message in messages:
            channel = self._reply_channels.pop(message.reply_to, None)
            if channel is not None:
                channel.send_nowait(message.body)
                channel.close()
            elif message.body is not None and message.reply_to == 0:
                handler.handle(self, message)
        return True

    def _apply_timing(self, timing):
        now = self._clock()
        if timing.sender_ms:
            self._peer_clock.observe(timing.sender_ms, now)
        # Before it has a reading of this clock, the peer sends its first messages only.
        self.sent_at = min(now, max(self.sent_at, timing.receiver_ms / 1000))

    async def _write_loop(self, handler):
        written_at = trio.current_time()
        while self.is_open:
            silent_at = self._silence_deadline()
            beat_at = written_at + self.cfg.heartbeat_interval_s(
                is_active=self.is_active
            )
            with trio.move_on_at(min(beat_at, silent_at)):
                await self._write_requested.wait()
            self._write_requested = trio.Event()
            now = trio.current_time()
            if now >= self._silence_deadline():
                log.warning("peer timed out peer=%s", self.peer.process_id)
                self._abort()
                return
            handler.before_write(self)
            if not self._outbox and now >= beat_at:
                self.send(handler.heartbeat())
            self._write_requested = trio.Event()
            if self._outbox:
                await self._write_outbox()
                written_at = now

    def _write_deadline(self):
        """Return the trio time at which the current write is given up.

        A peer that stops reading must not block the task indefinitely, and one that is
        silent is lost even while a write to it is in progress.
        """
        return min(self._write_expires_at, self._silence_deadline())

    def _silence_deadline(self):
        """Return the trio time at which the peer counts as lost if it stays silent."""
        limit_s = self.cfg.silence_limit_s(is_active=self.is_active)
        heard_at = self.last_received_at
        if self.is_active:
            heard_at = max(heard_at, self._active_since)
        return heard_at + limit_s

    async def _write_outbox(self):
        while self._outbox:
            limit = codec.MAX_MESSAGES_PER_BATCH
            batch, self._outbox = self._outbox[:limit], self._outbox[limit:]
            # The process may have been suspended since the first message was decided.
            decided_at = self._oldest_decided_at
            timing = Timing(
                int(self._clock() * 1000), self._peer_clock.bound_ms(decided_at)
            )
            payload = codec.encode_batch(batch, timing)
            self._is_writing = True
            self._write_expires_at = trio.current_time() + self.cfg.dead_after
            self._write_scope = trio.CancelScope(deadline=self._write_deadline())
            try:
                with self._write_scope:
                    await self._stream.send_all(framing.encode_frame(payload))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.closed_by_peer = True
                self.close()
                return
            if self._write_scope.cancelled_caught:
                log.warning("write timed out peer=%s", self.peer.process_id)
                self._abort()
                return
            self._is_writing = False
            self.messages_sent += len(batch)
            self.bytes_sent += len(payload)
        self._flush_done.set()
        self._flush_done = trio.Event()
