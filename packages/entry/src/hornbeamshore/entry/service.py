"""Interface between a front end and the routing of submissions."""

from abc import ABC, abstractmethod

from hornbeamshore.base.types import JobAnswer, JobKey, JobRequest
from hornbeamshore.config.model import Deployment


class SubmissionService(ABC):
    """Operations of an entry for front ends, independent of HTTP."""

    @abstractmethod
    async def submit(self, request: JobRequest, timeout_s: float) -> JobAnswer:
        """Return the complete answer to a submission within `timeout_s` seconds.

        The front end runs this in a task that outlives the caller's connection.
        """

    @abstractmethod
    async def query(self, key: JobKey, timeout_s: float) -> JobAnswer:
        """Return the answer of an earlier submission within `timeout_s` seconds.

        The code is `RUNNING` for a job that has not ended and `JOB_NOT_FOUND` for a key
        without a record.
        """

    @abstractmethod
    async def cancel(self, key: JobKey) -> JobAnswer:
        """Cancel a job and return its answer; the code is `CANCELLED` on success."""

    @abstractmethod
    def deployment(self) -> Deployment | None:
        """Return the configuration in force, None before the first one is known."""

    @abstractmethod
    def status(self) -> dict:
        """Return the status for operators; its key ``draining`` is a bool."""
