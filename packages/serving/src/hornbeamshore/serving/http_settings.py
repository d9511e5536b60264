"""Settings of the HTTP front end."""

from dataclasses import dataclass

from hornbeamshore.base.settings import ByteSize, Duration


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Bounds of the HTTP front end.

    Attributes
    ----------
    max_header_bytes : ByteSize
        Bound of the names and values of a request's headers.
    body_timeout : Duration
        Time in which a caller must have sent its whole body.
    discard_timeout : Duration
        Time for which the rest of a refused body is read and dropped. A caller that
        still sends would else see a reset of the connection before the answer.
    body_budget : ByteSize
        Bound of the request bodies that one process holds at a time.
    idle_timeout : Duration
        Time after which a connection without a request is closed; also the time in
        which the headers of the first request must arrive.
    send_timeout : Duration
        Time for which sent bytes may stay unacknowledged before a connection ends.
    linger : Duration
        Time for which new connections are still served after a planned stop began.
        Callers and balancers that have not seen it yet have requests on their way,
        which a closed listener would cut off unread.
    graceful_timeout : Duration
        Time for which requests in flight are served on after a planned stop began;
        above the longest deadline, so that none is cut off.
    """

    max_header_bytes: ByteSize = ByteSize(16 * 1024)
    body_timeout: Duration = Duration(10.0)
    discard_timeout: Duration = Duration(2.0)
    body_budget: ByteSize = ByteSize(256 * 1024 * 1024)
    idle_timeout: Duration = Duration(75.0)
    send_timeout: Duration = Duration(30.0)
    linger: Duration = Duration(0.5)
    graceful_timeout: Duration = Duration(65.0)
