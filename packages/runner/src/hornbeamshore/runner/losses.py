"""Losses of a target, kept for the entries."""

from collections import deque

from hornbeamshore.runner.runs import RunPhase
from hornbeamshore.wire.messages import LostRun, TargetLoss

# A target that crashes every three seconds does so 20 times within the retention.
MAX_LOSSES = 32


class LossLog:
    """Last losses of the target of an agent.

    Entries need the losses of runs that other entries ordered as well: a caller may
    submit its job to another entry after the loss of the first one.

    Parameters
    ----------
    retention_s : float
        Seconds for which a loss is kept.
    """

    def __init__(self, retention_s):
        self._retention_s = retention_s
        self._losses = deque(maxlen=MAX_LOSSES)
        self.last_number = 0

    def record(self, runs, *, crashed, answered_at, now):
        """Record the loss of the target with the runs that it had started.

        Parameters
        ----------
        runs : list of Run
            Runs whose start may have reached the target.
        crashed : bool
            Whether the target is known to have crashed.
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
        self._losses.append((now, TargetLoss(self.last_number, crashed, 0, lost_runs)))

    def after(self, number, now):
        """Return the `TargetLoss` records with higher numbers, as of time `now`."""
        return tuple(
            TargetLoss(
                loss.number, loss.crashed, round((now - lost_at) * 1000), loss.runs
            )
            for lost_at, loss in self._losses
            if loss.number > number and now - lost_at <= self._retention_s
        )


def _age_ms(run, answered_at):
    """Return the age of a run at the last answer, as `LostRun` has it."""
    age_ms = max(0, round((answered_at - run.started_at) * 1000))
    # A run whose stop was sent may have ended before the loss.
    is_certain = run.is_confirmed and run.phase is not RunPhase.STOPPING
    return age_ms if is_certain else -1 - age_ms
