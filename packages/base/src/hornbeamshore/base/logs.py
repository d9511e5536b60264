"""Log lines with a fixed prefix for each component of a process."""

import logging as standard_logging
import os
import time

from absl import flags, logging

MAX_LINES_PER_SECOND = 50
STDOUT, STDERR = 1, 2


class PartLogger:
    """Logger of one component of a process.

    Parameters
    ----------
    part : str
        Name of the component, the prefix of each line, such as ``owner``.
    """

    def __init__(self, part):
        self._prefix = f"{part}: "
        self._current_second = 0
        self._line_count = 0
        self._dropped_count = 0

    def debug(self, message, *args):
        """Log details for debugging."""
        self._log(logging.DEBUG, message, args)

    def info(self, message, *args):
        """Log a normal event."""
        self._log(logging.INFO, message, args)

    def warning(self, message, *args):
        """Log an event that may need the attention of an operator."""
        self._log(logging.WARNING, message, args)

    def error(self, message, *args):
        """Log a failure of this process."""
        self._log(logging.ERROR, message, args)

    def exception(self, message, *args):
        """Log an unexpected exception that is being handled, with its traceback."""
        self._log(logging.ERROR, message, args, exc_info=True)

    def _log(self, level, message, args, **options):
        if not logging.vlog_is_on(level) or not self._is_within_rate_limit():
            return
        logging.log(level, self._prefix + message, *args, **options)

    def _is_within_rate_limit(self):
        # Limits the output while many requests are refused.
        second = int(time.monotonic())
        if second != self._current_second:
            self._log_dropped_count()
            self._current_second, self._line_count = second, 0
        self._line_count += 1
        if self._line_count <= MAX_LINES_PER_SECOND:
            return True
        self._dropped_count += 1
        return False

    def _log_dropped_count(self):
        if self._dropped_count:
            dropped, self._dropped_count = self._dropped_count, 0
            logging.warning("%sdropped %d log lines", self._prefix, dropped)


class LineFormatter(standard_logging.Formatter):
    """Formats a record as one line: UTC time, level, component, event and fields."""

    default_time_format = "%Y-%m-%dT%H:%M:%S"
    default_msec_format = "%s.%03dZ"
    converter = time.gmtime

    def __init__(self):
        super().__init__("%(asctime)s %(levelname)s %(message)s")

    def format(self, record):
        """Return the formatted line, with line breaks of the message escaped."""
        return super().format(record).replace("\n", "\\n")


class NonBlockingHandler(standard_logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Lines are dropped while the pipe is full; the next line that is written is
    preceded by a line with their number.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is set to non-blocking mode.
    """

    def __init__(self, descriptor):
        super().__init__()
        self.setFormatter(LineFormatter())
        self._descriptor = descriptor
        self._pending = b""
        self._dropped_count = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a record as one line, or drop it."""
        line = (self.format(record) + "\n").encode(errors="replace")
        if self._dropped_count:
            line = b"%d log lines not written\n" % self._dropped_count + line
        if self._pending and not self._write_pending():
            self._dropped_count += 1
            return
        self._pending = line
        self._dropped_count = 0
        self._write_pending()

    def _write_pending(self):
        """Write what is left of the last line; return whether all of it is written."""
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            # The pipe is full or has no reader; the process continues without logs.
            written = 0
        self._pending = self._pending[written:]
        return not self._pending


def configure_logs(level, descriptor=STDERR):
    """Set the level and the output of all loggers.

    Parameters
    ----------
    level : str
        One of debug, info, warning, error.
    descriptor : int
        File descriptor of the output.
    """
    # Options are parsed by fire; absl needs its own flags to be marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    standard_logging.getLogger().handlers = [NonBlockingHandler(descriptor)]
    # httpcore logs about 15 trace lines for each call, which would hide other lines.
    standard_logging.getLogger("httpcore").setLevel(standard_logging.INFO)


# Skipped frames, so that a record has the source location of the logging call.
for _method in ("debug", "info", "warning", "error", "exception", "_log"):
    logging.skip_log_prefix(getattr(PartLogger, _method))
