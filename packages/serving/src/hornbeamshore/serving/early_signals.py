"""Signals that a process receives before its event loop handles them.

A process takes connections from the moment at which its addresses are bound, before it
has imported its libraries. A signal in between must not end it by the default action,
which would reset these connections. This module therefore imports only the standard
library.
"""

import signal
import time

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class EarlySignals:
    """Signals received so far, kept until the event loop handles signals.

    Attributes
    ----------
    stopped_at : float or None
        Boot time of the first stop signal, in seconds; None if there was none.
    is_reload_requested : bool
        Whether a reload was requested.
    """

    def __init__(self):
        self.stopped_at = None
        self.is_reload_requested = False

    def install(self):
        """Record signals from now on instead of ending the process."""
        for signum in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(signum, self._record)

    def _record(self, signum, frame):
        if signum == RELOAD_SIGNAL:
            self.is_reload_requested = True
        elif self.stopped_at is None:
            self.stopped_at = time.clock_gettime(time.CLOCK_BOOTTIME)
