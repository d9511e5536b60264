"""Detection of callers that no longer wait for the answers to their jobs.

A caller that gets no answer closes its connection and submits its job again, possibly
to another entry. Events are read in any order and, after a suspension or under load,
late: a job may be read, and an agent become free, before the close of the connection
is. The state of the socket shows the close as soon as the host has received it.
"""

import abc
import select

# Includes the end of the caller's data, which is all that a caller that closes its
# connection sends; poll() always reports errors and resets.
_HANGUP_EVENTS = select.POLLRDHUP


class CallerPresence(abc.ABC):
    """Knows which callers have closed their connections."""

    @abc.abstractmethod
    def departed(self, callers):
        """Return the set of callers that have closed their connections.

        Parameters
        ----------
        callers : iterable
            Connections of callers; None, for a caller in this process, is never
            returned.
        """


class AssumedPresence(CallerPresence):
    """Takes callers as present until their calls are cancelled."""

    def departed(self, callers):
        """Return an empty set."""
        return frozenset()


class SocketPresence(CallerPresence):
    """Asks the operating system for the state of the callers' sockets.

    Callers are sockets. A caller that has closed only its sending side counts as
    departed, since TCP does not tell the two apart.
    """

    def departed(self, callers):
        """Return the set of sockets whose peers have closed their connections."""
        poll = select.poll()
        by_fileno, departed = {}, set()
        for sock in callers:
            if sock is None:
                continue
            fileno = sock.fileno()
            if fileno < 0:
                departed.add(sock)
            else:
                by_fileno[fileno] = sock
                poll.register(fileno, _HANGUP_EVENTS)
        departed.update(by_fileno[fileno] for fileno, _ in poll.poll(0))
        return departed
