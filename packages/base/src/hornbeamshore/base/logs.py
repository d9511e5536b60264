"""Log lines with a fixed prefix for each part of a process."""

import time

from absl import flags, logging

MAX_LINES_PER_SECOND = 50


class PartLogger:
    """Logger of one part of a process.

    Parameters
    ----------
    part : str
        Prefix of each line, such as ``owner``.
    """

    def __init__(self, part):
        self._prefix = f"{part}: "
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def debug(self, message, *args):
        """Log details for a developer."""
        self._log(logging.DEBUG, message, args)

    def info(self, message, *args):
        """Log a normal event."""
        self._log(logging.INFO, message, args)

    def warning(self, message, *args):
        """Log an event that an operator may have to look at."""
        self._log(logging.WARNING, message, args)

    def error(self, message, *args):
        """Log a failure of this process."""
        self._log(logging.ERROR, message, args)

    def _log(self, level, message, args):
        if not logging.vlog_is_on(level) or not self._within_rate():
            return
        logging.log(level, self._prefix + message, *args)

    def _within_rate(self):
        # A flood of refusals must not turn into a flood of log lines.
        second = int(time.monotonic())
        if second != self._second:
            self._report_dropped()
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_SECOND:
            return True
        self._dropped += 1
        return False

    def _report_dropped(self):
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            logging.warning("%sdropped %d log lines", self._prefix, dropped)


def configure_logs(level):
    """Set the level of all parts; one of debug, info, warning, error."""
    # The programs take their options through fire; absl's own flags stay unused.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)


# Log lines name the place that logs, not this module.
for _method in ("debug", "info", "warning", "error", "_log"):
    logging.skip_log_prefix(getattr(PartLogger, _method))
