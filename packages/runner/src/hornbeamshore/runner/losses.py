"""Losses of a target, kept for the entries."""

from collections import deque
from dataclasses import dataclass, replace

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.runs import RunPhase
from hornbeamshore.wire.messages import LostRun, TargetLoss

# A target that crashes every three seconds does so 20 times within the retention.
MAX_LOSSES = 32

log = PartLogger("agent")


@dataclass(frozen=True, slots=True)
class LossRecord:
    """Record of a `LossLog`; `sequence` counts the records from 1."""

    sequence: int
    lost_at: float
    loss: TargetLoss


class LossLog:
    """Last losses of the target of an agent.

    Entries need the losses of runs that other entries ordered as well: a caller may
    submit its job to another entry after the loss of the first one.

    A target that has fallen silent may go on. If another incarnation answers within the
    confirmation time, the silent one had crashed, and its loss is recorded a second
    time under the same number. The lease of the runs may have expired before the crash,
    so no run is certain to have been running.

    Parameters
    ----------
    cfg : RunnerSettings
        Retention and confirmation time.

    Attributes
    ----------
    last_number : int
        Number of the last loss.
    last_sequence : int
        Number of the last record.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._records = deque(maxlen=MAX_LOSSES)
        # Last loss, while the silent target may either go on or have crashed.
        self._unconfirmed = None
        self.last_number = self.last_sequence = 0

    def record(self, runs, *, crashed, is_silent, answered_at, now):
        """Record the loss of the target with the runs that it had started.

        Parameters
        ----------
        runs : list of Run
            Runs whose start may have reached the target.
        crashed : bool
            Whether the target is known to have crashed.
        is_silent : bool
            Whether the target may still turn out to have crashed.
        answered_at : float
            Time at which the target last answered a call.
        now : float
            Time on the same clock.
        """
        self.last_number += 1
        lost_runs = tuple(
            LostRun(
                run.job_id,
                run.step,
                run.index,
                run.queue,
                _age_ms(run, answered_at),
                run.isolated,
            )
            for run in runs
        )
        loss = TargetLoss(self.last_number, crashed, 0, lost_runs)
        record = self._append(now, loss)
        self._unconfirmed = record if is_silent else None

    def confirm_crash(self, now):
        """Record that the target has ended, if it was lost by silence shortly before.

        After a longer time it may have been replaced for another reason.
        """
        record, self._unconfirmed = self._unconfirmed, None
        if record is None or now - record.lost_at > self._cfg.crash_confirmation:
            return
        log.warning(
            "silent target had crashed number=%d elapsed_ms=%.0f",
            record.loss.number,
            (now - record.lost_at) * 1000,
        )
        runs = tuple(
            replace(run, age_ms=-1 - run.answered_age_ms) for run in record.loss.runs
        )
        self._append(record.lost_at, replace(record.loss, crashed=True, runs=runs))

    def dismiss_crash(self):
        """Record that the target that was lost by silence has gone on."""
        self._unconfirmed = None

    def after(self, sequence, now):
        """Return the losses of the records after `sequence`, as of time `now`."""
        return tuple(
            replace(record.loss, elapsed_ms=round((now - record.lost_at) * 1000))
            for record in self._records
            if record.sequence > sequence
            and now - record.lost_at <= self._cfg.loss_retention
        )

    def _append(self, lost_at, loss):
        self.last_sequence += 1
        record = LossRecord(self.last_sequence, lost_at, loss)
        self._records.append(record)
        return record


def _age_ms(run, answered_at):
    """Return the age of a run at the last answer, as `LostRun` has it."""
    age_ms = max(0, round((answered_at - run.started_at) * 1000))
    # A run whose stop was sent may have ended before the loss.
    is_certain = run.is_confirmed and run.phase is not RunPhase.STOPPING
    return age_ms if is_certain else -1 - age_ms
