"""TCP relay that simulates failures of the network path to an entry.

It can drop all further bytes of a connection without closing it, as when a middlebox
has lost the connection's state, while new connections work.
"""

import trio

from hornbeamshore.wire import codec
from hornbeamshore.wire.messages import Hello

READ_BYTES = 64 * 1024
# Size of the length prefix of a frame.
LENGTH_PREFIX_BYTES = 4


class Relay:
    """Relay that forwards connections to one address.

    Attributes
    ----------
    address : str
        ``host:port`` at which the relay listens, once `serve` has started.
    upstream : str
        ``host:port`` to which it forwards connections.
    """

    def __init__(self):
        self.address = self.upstream = ""
        self._connections = []

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen on a loopback port and forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        # The upstream process binds the same port on another loopback address.
        self.upstream = f"127.0.0.2:{port}"
        async with trio.open_nursery() as nursery:
            task_status.started(self)
            await trio.serve_listeners(
                self._serve_connection, listeners, handler_nursery=nursery
            )

    def drop_bytes(self, peer_ids, *, inbound=True, outbound=True):
        """Drop all further bytes on the connections that some processes opened.

        Parameters
        ----------
        peer_ids : collection of str
            Ids of the processes, as given in the first message of a connection.
        inbound, outbound : bool
            Whether to drop bytes to, or from, the upstream address.

        Returns
        -------
        int
            Number of affected connections.
        """
        conns = [conn for conn in self._connections if conn.peer_id in peer_ids]
        for conn in conns:
            conn.drops_inbound |= inbound
            conn.drops_outbound |= outbound
        return len(conns)

    async def _serve_connection(self, client):
        host, _, port = self.upstream.rpartition(":")
        conn = _RelayedConnection()
        self._connections.append(conn)
        try:
            async with (
                client,
                await trio.open_tcp_stream(host, int(port)) as server,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(conn.forward_inbound, client, server)
                nursery.start_soon(conn.forward_outbound, server, client)
        except OSError:
            pass
        finally:
            self._connections.remove(conn)


class _RelayedConnection:
    """Connection through the relay and the directions in which it drops bytes."""

    def __init__(self):
        self.peer_id = ""
        self.drops_inbound = self.drops_outbound = False

    async def forward_inbound(self, client, server):
        await self._forward(client, server, lambda: self.drops_inbound)

    async def forward_outbound(self, server, client):
        await self._forward(server, client, lambda: self.drops_outbound)

    async def _forward(self, source, sink, is_dropping):
        try:
            while True:
                data = await source.receive_some(READ_BYTES)
                if not self.peer_id:
                    self.peer_id = _peer_id(data)
                if is_dropping():
                    # Drops the end of the stream, too.
                    await trio.sleep_forever()
                await sink.send_all(data) if data else await sink.send_eof()
                if not data:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(sink)


def _peer_id(data):
    """Return the process id in the first frame, or ``"?"`` if it is not a `Hello`."""
    try:
        message = codec.decode_batch(data[LENGTH_PREFIX_BYTES:])[0]
    except (codec.CodecError, IndexError):
        return "?"
    return message.body.process_id if isinstance(message.body, Hello) else "?"
