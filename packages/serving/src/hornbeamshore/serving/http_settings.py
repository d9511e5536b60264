"""Settings of the HTTP front end."""

from dataclasses import dataclass

from hornbeamshore.base.settings import ByteSize, Duration


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Timeouts and limits of the HTTP front end.

    Attributes
    ----------
    max_header_bytes : ByteSize
        Maximum total size of the header names and values of a request.
    body_timeout : Duration
        Time within which a caller must send the whole body of a request.
    discard_timeout : Duration
        Time for which the rest of a refused body is read and discarded. Otherwise a
        caller that is still sending would see a connection reset, not the answer.
    body_budget : ByteSize
        Maximum total size of the request bodies in the memory of one process.
    idle_timeout : Duration
        Time after which a connection without a request is closed; also the time
        within which the headers of the first request must arrive.
    send_timeout : Duration
        Time for which sent bytes may stay unacknowledged before the connection is
        closed.
    """

    max_header_bytes: ByteSize = ByteSize(16 * 1024)
    body_timeout: Duration = Duration(10.0)
    discard_timeout: Duration = Duration(2.0)
    body_budget: ByteSize = ByteSize(256 * 1024 * 1024)
    idle_timeout: Duration = Duration(75.0)
    send_timeout: Duration = Duration(30.0)
