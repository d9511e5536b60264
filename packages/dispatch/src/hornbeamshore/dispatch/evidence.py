"""Evidence from lost targets about the tasks and queues that crash them."""

import abc
import bisect
import enum
from collections import OrderedDict
from dataclasses import dataclass, replace

# Crashes closer together than this may have one common cause, such as a power loss.
COMMON_CAUSE_S = 0.05
MAX_REMEMBERED_JOBS = 4096
MAX_QUEUE_CRASHES = 256


class Suspicion(enum.Enum):
    """How far a task is suspected of crashing targets.

    Attributes
    ----------
    NONE
        The task may run anywhere.
    SUSPECTED
        The next run must show whether it is this task.
    EXHAUSTED
        The task must not be started again, though it may be innocent.
    PROVEN
        The task has crashed targets and must not be started again.
    """

    NONE = "none"
    SUSPECTED = "suspected"
    EXHAUSTED = "exhausted"
    PROVEN = "proven"


@dataclass(frozen=True, slots=True)
class TaskRecord:
    """Losses of targets under one task.

    Attributes
    ----------
    losses : int
        Targets that were lost after a start of the task was sent to them.
    crashes : int
        Targets that are known to have crashed while they ran the task.
    suspicions : int
        Crashes of these for which the task is the likely cause.
    unconfirmed : int
        Crashes for which the task would be the likely cause, but whose targets may not
        have been running it.
    age_ms : int
        Milliseconds from its start to the last answer of the target that was lost last.
    lost_with : tuple of str
        Agent and number of each loss.
    """

    losses: int = 0
    crashes: int = 0
    suspicions: int = 0
    unconfirmed: int = 0
    age_ms: int = 0
    lost_with: tuple[str, ...] = ()

    @property
    def suspicious_crashes(self):
        """Crashes that the task may have caused."""
        return self.suspicions + self.unconfirmed


@dataclass(frozen=True, slots=True)
class QueueCrash:
    """Crash of a target under suspects of one queue alone."""

    lost_at: float
    queue_name: str
    job_ids: frozenset[str]
    is_trial: bool


class LossEvidence(abc.ABC):
    """Decides from lost targets which tasks and queues are to be contained."""

    @abc.abstractmethod
    def record_loss(self, agent_id, incarnation, loss, confined_queues, now):
        """Record the loss of a target, unless it was recorded before.

        The loss of a silent target is recorded once more when the target is known to
        have crashed, in place of the first record.

        Parameters
        ----------
        agent_id : str
            Agent of the target.
        incarnation : int
            Incarnation of the agent process.
        loss : TargetLoss
            Loss as reported by the agent.
        confined_queues : set of str
            Queues that are known to have tasks that crash targets.
        now : float
            Trio clock time.
        """

    @abc.abstractmethod
    def record_success(self, task):
        """Clear a task that has succeeded."""

    @abc.abstractmethod
    def suspicion(self, task):
        """Return the `Suspicion` of a task."""

    @abc.abstractmethod
    def describe(self, task):
        """Return the losses under a task, for the log."""

    @abc.abstractmethod
    def knows(self, job_id):
        """Return whether a target was lost while it ran a task of a job."""

    @abc.abstractmethod
    def likelihood(self, task):
        """Return a sort key that is higher for the more likely cause of a crash."""

    @abc.abstractmethod
    def crashes_under(self, queue_name):
        """Return the `QueueCrash` records of a queue, the earliest first."""

    @abc.abstractmethod
    def is_watched(self, queue_name, now):
        """Return whether a target has crashed under one queue alone lately."""

    @abc.abstractmethod
    def is_recent(self, now):
        """Return whether a target has crashed under a suspect lately."""


class RecentStarts(LossEvidence):
    """Suspects the tasks that were started just before a target crashed.

    Most tasks that run on a target when it crashes are innocent, and a task that
    crashes targets mostly does so soon after its start. If an isolated task is among
    those started last, it is the only suspect; otherwise the tasks of confined queues
    are, if there are any. A task that has been lost with several targets becomes a
    suspect whenever it was started.

    Parameters
    ----------
    cfg : ContainmentSettings
        Thresholds.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._jobs = OrderedDict()
        self._seen = OrderedDict()
        self._queue_crashes = []
        self._last_crash_at = -float("inf")

    def record_loss(self, agent_id, incarnation, loss, confined_queues, now):
        """Record the loss of a target, unless it was recorded before."""
        key = agent_id, incarnation, loss.number
        lost_at = now - loss.elapsed_ms / 1000
        was_crash = self._seen.get(key)
        if was_crash in (True, loss.crashed) or now - lost_at > self._cfg.retention:
            return
        self._seen[key] = loss.crashed
        is_late = was_crash is not None
        loss = replace(loss, runs=_one_run_of_each_task(loss.runs))
        if is_late:
            loss = self._withdraw(agent_id, loss)
        suspects = self._suspects(loss, confined_queues)
        # A trial that ends in a crash says nothing about the other runs.
        is_trial = any(run.isolated for run in suspects)
        for run in suspects if is_trial else loss.runs:
            self._record_run(run, loss, agent_id, run in suspects)
        if suspects:
            self._last_crash_at = max(self._last_crash_at, lost_at)
            # Targets that fall silent together, as in a rack without power, are noticed
            # too far apart to be taken for one crash; they confine no queue.
            if not is_late:
                self._record_crash(suspects, lost_at)
        for memory in (self._seen, self._jobs):
            while len(memory) > MAX_REMEMBERED_JOBS:
                memory.popitem(last=False)

    def record_success(self, task):
        """Clear a task that has succeeded."""
        records = self._jobs.get(task.job.spec.job_id)
        if records is not None:
            records.pop((task.step_index, task.index), None)

    def suspicion(self, task):
        """Return the `Suspicion` of a task."""
        record = self._record_of(task)
        cfg = self._cfg
        if record.suspicions >= cfg.max_suspicions or record.crashes >= cfg.max_crashes:
            return Suspicion.PROVEN
        if record.unconfirmed >= cfg.max_unconfirmed or record.losses >= cfg.max_losses:
            return Suspicion.EXHAUSTED
        if record.suspicious_crashes or record.losses >= cfg.suspect_losses:
            return Suspicion.SUSPECTED
        return Suspicion.NONE

    def describe(self, task):
        """Return the losses under a task, for the log."""
        record = self._record_of(task)
        return (
            f"losses={record.losses} crashes={record.crashes}"
            f" suspicions={record.suspicions} unconfirmed={record.unconfirmed}"
            f" lost_with={','.join(record.lost_with)}"
        )

    def knows(self, job_id):
        """Return whether a target was lost while it ran a task of a job."""
        return job_id in self._jobs

    def likelihood(self, task):
        """Return a sort key that is higher for the more likely cause of a crash."""
        record = self._record_of(task)
        return record.suspicious_crashes, -record.age_ms, record.unconfirmed

    def crashes_under(self, queue_name):
        """Return the `QueueCrash` records of a queue, the earliest first."""
        return [
            crash for crash in self._queue_crashes if crash.queue_name == queue_name
        ]

    def is_watched(self, queue_name, now):
        """Return whether a target has crashed under one queue alone lately."""
        oldest = now - self._cfg.watch_time
        return any(
            crash.queue_name == queue_name and crash.lost_at >= oldest
            for crash in self._queue_crashes
        )

    def is_recent(self, now):
        """Return whether a target has crashed under a suspect lately."""
        return now - self._last_crash_at <= self._cfg.watch_time

    def _record_of(self, task):
        records = self._jobs.get(task.job.spec.job_id, {})
        return records.get((task.step_index, task.index), TaskRecord())

    def _withdraw(self, agent_id, loss):
        """Undo the record of a loss; return the loss without cleared tasks."""
        runs = []
        for run in loss.runs:
            records = self._jobs.get(run.job_id, {})
            record = records.get((run.step, run.index))
            if record is not None:
                runs.append(run)
                records[run.step, run.index] = replace(
                    record,
                    losses=record.losses - 1,
                    lost_with=tuple(
                        name
                        for name in record.lost_with
                        if name != _loss_name(agent_id, loss)
                    ),
                )
        return replace(loss, runs=tuple(runs))

    def _suspects(self, loss, confined_queues):
        if not loss.crashed:
            return []
        youngest = [
            run
            for run in loss.runs
            if run.answered_age_ms <= self._cfg.suspect_age * 1000
        ]
        tried = [run for run in youngest if run.isolated]
        confined = [run for run in youngest if run.queue in confined_queues]
        return tried or confined or youngest

    def _record_run(self, run, loss, agent_id, is_suspect):
        records = self._jobs.setdefault(run.job_id, {})
        record = records.get((run.step, run.index), TaskRecord())
        records[run.step, run.index] = replace(
            record,
            losses=record.losses + 1,
            crashes=record.crashes + (loss.crashed and run.was_running),
            suspicions=record.suspicions + (is_suspect and run.was_running),
            unconfirmed=record.unconfirmed + (is_suspect and not run.was_running),
            age_ms=run.answered_age_ms,
            lost_with=(*record.lost_with, _loss_name(agent_id, loss)),
        )

    def _record_crash(self, suspects, lost_at):
        queue_names = {run.queue for run in suspects}
        if len(queue_names) > 1:
            return
        crash = QueueCrash(
            lost_at,
            queue_names.pop(),
            frozenset(run.job_id for run in suspects),
            suspects[0].isolated,
        )
        if crash.is_trial or not any(
            abs(lost_at - other.lost_at) < COMMON_CAUSE_S and not other.is_trial
            for other in self._queue_crashes
        ):
            bisect.insort(self._queue_crashes, crash, key=_lost_at)
        del self._queue_crashes[:-MAX_QUEUE_CRASHES]


def _one_run_of_each_task(runs):
    """Return the runs without others of the same task, which count for one crash.

    A copy of a job may be run while an earlier run is still being stopped. Of the runs
    of a task, the youngest one that was certainly running is kept.
    """
    by_likelihood = sorted(
        runs, key=lambda run: (run.was_running, -run.answered_age_ms)
    )
    return tuple(
        {(run.job_id, run.step, run.index): run for run in by_likelihood}.values()
    )


def _loss_name(agent_id, loss):
    return f"{agent_id}#{loss.number}"


def _lost_at(crash):
    return crash.lost_at
