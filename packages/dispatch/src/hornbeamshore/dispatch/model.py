"""Data types of queues, jobs and job outcomes in direct dispatch."""

from dataclasses import dataclass

from hornbeamshore.base.codes import CODE_TABLE, ResultCode, RunState
from hornbeamshore.wire.messages import Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue to which callers submit jobs of one kind.

    Attributes
    ----------
    name : str
        Unique name of the queue.
    host, prefix : str
        Host name and path prefix of requests for this queue. If several prefixes
        match a request, the longest one is used.
    service : str
        Service whose targets run the tasks.
    priority : int
        Scheduling priority; 0 is the most urgent.
    max_failed_runs : int
        Number of failed runs of one task at which the job fails.
    stretch : float
        Factor of the response-time objective relative to the critical path.
    objective_s : float
        Constant part of the response-time objective, in seconds.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_failed_runs: int = 1
    stretch: float = 1.0
    objective_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Routing:
    """Queues defined by one version of the configuration."""

    version: int
    queues: tuple[Queue, ...] = ()

    def match(self, host, path):
        """Return the queue with the longest matching prefix, or None."""
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


@dataclass(frozen=True, slots=True)
class Step:
    """Group of identical tasks of a job.

    Attributes
    ----------
    count : int
        Number of tasks in the step.
    needs : Resources
        Resource request of each task.
    estimate_s : float
        Declared run time of each task in seconds; often inaccurate.
    depends_on : tuple of int
        Indices of the steps that must complete before this one starts.
    required_label : str
        Label that the target must have; empty for none.
    preferred_rack : str
        Preferred rack, on which the tasks run fastest; empty for none.
    max_per_target : int
        Maximum number of concurrent tasks of the step on one target; 0 for no limit.
    """

    count: int
    needs: Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    max_per_target: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Job as submitted by a caller.

    Attributes
    ----------
    job_id : str
        Id chosen by the caller; a duplicate submission has the same id.
    content : str
        Opaque task description, passed to the targets unchanged.
    steps : tuple of Step
        Steps in topological order.
    """

    job_id: str
    content: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Outcome of a job, as reported to its caller.

    Attributes
    ----------
    code : ResultCode
        Result of the job.
    run_state : RunState
        Whether any task of the job has run.
    retry_after_s : float
        Seconds after which the caller may submit a job rejected for overload again.
    """

    code: ResultCode
    run_state: RunState
    retry_after_s: float = 0.0

    @classmethod
    def of(cls, code, run_state=None, retry_after_s=0.0):
        """Return an outcome, whose run state follows from the code if it is omitted.

        Parameters
        ----------
        code : ResultCode
            Result of the job.
        run_state : RunState or None
            Run state; None selects the default in `CODE_TABLE`.
        retry_after_s : float
            Seconds after which the caller may submit the job again.
        """
        if run_state is None:
            run_state = CODE_TABLE[code].run_state
        return cls(code, run_state, retry_after_s)
