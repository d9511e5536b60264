"""Control of a target by its agent, and the signs by which it is lost."""

import abc
import enum
from dataclasses import dataclass

from hornbeamshore.runner.target import TargetIncarnation


@dataclass(frozen=True, slots=True)
class Takeover:
    """Exclusive control of a target incarnation by this agent.

    Attributes
    ----------
    target : TargetIncarnation
        Incarnation, as announced when it was taken over.
    fencing_token : int
        Fencing token; the target ignores calls with the lower token of an earlier
        takeover.
    """

    target: TargetIncarnation
    fencing_token: int


class LossReason(enum.Enum):
    """Sign by which the loss of a target was noticed."""

    REFUSED = "connections refused"
    EXPIRED = "target lease expired"
    REPLACED = "target replaced"
    RESTARTED = "target restarted under its id"
    MISDIRECTED = "another incarnation answered"
    DEPARTED = "target departed"

    @property
    def is_replacement(self):
        """Whether another incarnation has answered in place of the target."""
        return self.is_crash and self is not LossReason.REFUSED

    @property
    def is_crash(self):
        """Whether the target is certain to have ended without notice."""
        return self not in (LossReason.EXPIRED, LossReason.DEPARTED)


class TargetEvents(abc.ABC):
    """Queries and notifications from a supervisor to the owner of the runs."""

    @abc.abstractmethod
    def has_runs(self):
        """Return whether the target may be running anything."""

    @abc.abstractmethod
    def expected_runs(self):
        """Return the runs that a poll sent now must report, running or ended."""

    @abc.abstractmethod
    def may_extend_lease(self):
        """Return whether all runs at the target may go on until a later expiry."""

    @abc.abstractmethod
    def target_polled(self, ended, state, expected):
        """Process the answer to a poll.

        Parameters
        ----------
        ended : list of EndedRun
            Ended runs that no earlier poll has reported.
        state : TargetState
            Answer of the target.
        expected : list of Run
            Result of `expected_runs` when the poll was sent; runs that the target does
            not report are missing.
        """

    @abc.abstractmethod
    def target_changed(self):
        """Update the state after the target was announced, taken over or is leaving."""

    @abc.abstractmethod
    def target_lost(self, reason):
        """End the runs that are certain not to be running at the target any more.

        These are all runs, except after a restart under the same id: a run that no poll
        has listed may have been started by the new incarnation.

        Parameters
        ----------
        reason : LossReason
            Sign by which the loss was noticed.
        """

    @abc.abstractmethod
    def target_cleared(self):
        """End the runs that are left after a loss; the target runs nothing any more."""
