"""State of the jobs in progress at an entry, their tasks and runs."""

import enum

import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.dispatch.model import JobOutcome

# Codes of jobs that have run; after any other code a job may not have started.
_CODES_OF_RUN_JOBS = (
    ResultCode.OK,
    ResultCode.TASK_FAILED,
    ResultCode.TARGET_CRASHED,
)


class TaskPhase(enum.Enum):
    """Phase in the life cycle of a task.

    Attributes
    ----------
    BLOCKED
        Earlier steps have not completed.
    WAITING
        Ready to run, not assigned to an agent.
    PLACED
        Assigned to an agent.
    DONE
        Completed successfully.
    """

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class Task:
    """One task of a job.

    Attributes
    ----------
    job : Job
        Job that the task belongs to.
    step_index : int
        Index of the step in the job.
    index : int
        Index of the task in the step.
    phase : TaskPhase
        Current phase.
    attempts : int
        Number of runs ordered.
    failures : int
        Number of runs that the target reported as failed.
    excluded_until : dict of str to float
        Agent ids, each with the Trio clock time until which the task must not be
        placed on the agent.
    isolated : bool
        Whether the task is suspected of crashing targets and runs in isolation.
    """

    __slots__ = (
        "job",
        "step_index",
        "index",
        "phase",
        "attempts",
        "failures",
        "excluded_until",
        "isolated",
    )

    def __init__(self, job, step_index, index):
        self.job = job
        self.step_index = step_index
        self.index = index
        self.phase = TaskPhase.BLOCKED
        self.attempts = self.failures = 0
        self.excluded_until = {}
        self.isolated = False

    @property
    def step_spec(self):
        """Specification of the step that the task belongs to."""
        return self.job.spec.steps[self.step_index]


class Run:
    """Run of a task that was ordered from an agent and has not ended.

    Attributes
    ----------
    run_id : int
        Id of the run, unique in this process.
    task : Task
        Task that the run executes.
    agent_id : str
        Agent that the run was ordered from.
    ordered_at : float
        Trio clock time at which the run was ordered.
    overdue_at : float
        Trio clock time after which the run takes far longer than expected.
    """

    __slots__ = ("run_id", "task", "agent_id", "ordered_at", "overdue_at")

    def __init__(self, run_id, task, agent_id, ordered_at, overdue_at):
        self.run_id = run_id
        self.task = task
        self.agent_id = agent_id
        self.ordered_at = ordered_at
        self.overdue_at = overdue_at


class Job:
    """Job in progress.

    Attributes
    ----------
    spec : JobSpec
        Job as submitted.
    queue : Queue
        Queue that the job was submitted to.
    received_at, due_at : float
        Trio clock times at which the job was submitted and at which its last run
        must end to meet the response-time objective.
    caller : object or None
        Connection of the caller; None for a caller in this process.
    has_placed_task : bool
        Whether any task has been placed.
    may_have_run : bool
        Whether a run has ended that may have reached a target.
    is_registered : bool
        Whether the job has been added to the jobs in progress.
    is_abandoned : bool
        Whether the caller disconnected, or its deadline passed, before the job ended.
    outcome : JobOutcome or None
        Outcome; None until the job is finished.
    runs : dict of int to Run
        Runs that have not ended, by run id.
    ended_runs : list of str
        Ended runs in the format of the log: step and task index, agent, result code
        and run time in milliseconds, as in ``0.2@agent-1:0:140``.
    finished : trio.Event
        Set when the outcome is set.
    drained : trio.Event
        Set when the job is finished and none of its runs can still be executing.
    tasks : list of list of Task
        Tasks of each step.
    """

    def __init__(self, spec, queue, received_at, caller=None):
        self.spec = spec
        self.queue = queue
        self.received_at = received_at
        self.caller = caller
        self.due_at = float("inf")
        self.has_placed_task = self.may_have_run = False
        self.is_registered = self.is_abandoned = False
        self.outcome = None
        self.runs = {}
        self.ended_runs = []
        self.finished = trio.Event()
        self.drained = trio.Event()
        self.tasks = [
            [Task(self, step_index, index) for index in range(step.count)]
            for step_index, step in enumerate(spec.steps)
        ]
        self._unfinished_counts = [step.count for step in spec.steps]

    @property
    def may_have_started(self):
        """Whether any task may have started."""
        return self.may_have_run or bool(self.runs)

    def release_tasks(self):
        """Move blocked tasks that are now ready to WAITING and return them."""
        released = []
        for step_index, step in enumerate(self.spec.steps):
            if any(self._unfinished_counts[earlier] for earlier in step.depends_on):
                continue
            for task in self.tasks[step_index]:
                if task.phase is TaskPhase.BLOCKED:
                    task.phase = TaskPhase.WAITING
                    released.append(task)
        return released

    def complete_task(self, task):
        """Mark a task as done; return whether its step is now complete."""
        task.phase = TaskPhase.DONE
        self._unfinished_counts[task.step_index] -= 1
        return self._unfinished_counts[task.step_index] == 0

    @property
    def is_complete(self):
        """Whether all tasks are done."""
        return not any(self._unfinished_counts)

    @property
    def critical_path_s(self):
        """Declared run time of the critical path of the job, in seconds."""
        finish_times_s = []
        for step in self.spec.steps:
            starts_at_s = max(
                (finish_times_s[earlier] for earlier in step.depends_on), default=0.0
            )
            finish_times_s.append(starts_at_s + step.estimate_s)
        return max(finish_times_s)

    def finish(self, code, retry_after_s=0.0):
        """Set the outcome, unless the job has one already.

        Parameters
        ----------
        code : ResultCode
            Result of the job.
        retry_after_s : float
            Seconds after which the caller may submit the job again.
        """
        if self.finished.is_set():
            return
        run_state = None
        if code not in _CODES_OF_RUN_JOBS:
            run_state = RunState.UNKNOWN if self.may_have_started else RunState.NOT_RUN
        self.outcome = JobOutcome.of(code, run_state, retry_after_s)
        self.finished.set()
        self.update_drained()

    def update_drained(self):
        """Set `drained` if the job is finished and all of its runs have ended."""
        if self.finished.is_set() and not self.runs:
            self.drained.set()
