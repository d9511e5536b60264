"""Listening sockets that are bound before a process imports its libraries.

Imports take most of the startup time. Connections that arrive meanwhile wait in the
backlog of the socket; refused ones would be retried a second later or at another
process. This module therefore imports only the standard library.
"""

import socket

# Maximum number of connections that wait to be accepted; the system drops others.
BACKLOG = 1024


class PreboundSockets:
    """Listening sockets by address, kept until a server of the process uses them."""

    def __init__(self):
        self._sockets = {}

    def bind(self, address):
        """Bind a socket to ``host:port`` and listen on it.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        sock = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._sockets[address] = sock

    def pop(self, address):
        """Remove and return the socket of an address, or None if there is none."""
        return self._sockets.pop(address, None)
