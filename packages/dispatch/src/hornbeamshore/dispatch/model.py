"""Queues and jobs of direct dispatch."""

from dataclasses import dataclass

from hornbeamshore.base.codes import CODE_TABLE, ResultCode, RunState
from hornbeamshore.wire.messages import Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers submit one kind of job.

    Attributes
    ----------
    host, prefix : str
        Select the queue of a request; the longest prefix wins.
    service : str
        Whose targets run the tasks.
    priority : int
        0 comes first.
    max_failures : int
        Runs of one task that may fail before its job has failed.
    stretch : float
        Objective of the response time over the longest chain of tasks.
    objective_s : float
        Seconds that the objective allows on top.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_failures: int = 1
    stretch: float = 1.0
    objective_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Routing:
    """All queues at one version of the configuration."""

    version: int
    queues: tuple[Queue, ...] = ()

    def match(self, host, path):
        """Return the queue of a request, or None."""
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of a job that are alike.

    Attributes
    ----------
    count : int
        Tasks of the step.
    needs : Resources
        Of each task.
    estimate_s : float
        Declared run time; often far off.
    after : tuple of int
        Steps that must have ended first.
    required_label : str
        Label that the target must have; empty for none.
    near_rack : str
        Rack on which the tasks run fastest; empty for none.
    max_per_target : int
        Tasks of the step on one target at a time; 0 for no bound.
    """

    count: int
    needs: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    near_rack: str = ""
    max_per_target: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted; `content` is passed to the targets as it is."""

    job_id: str
    content: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Answer to a job.

    Attributes
    ----------
    retry_after_s : float
        When to submit again, where the job was refused for load.
    """

    code: ResultCode
    run_state: RunState
    retry_after_s: float = 0.0

    @classmethod
    def of(cls, code, run_state=None, retry_after_s=0.0):
        """Return an outcome with the run state that the code has by default."""
        if run_state is None:
            run_state = CODE_TABLE[code].run_state
        return cls(code, run_state, retry_after_s)
