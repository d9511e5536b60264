"""Interface to a target that runs tasks under a lease held by its agent."""

import abc
import enum
from dataclasses import dataclass

from hornbeamshore.wire.messages import Resources


class TargetUnresponsive(Exception):  # noqa: N818
    """A call got no valid answer; it may have been executed or may still be."""


class TargetUnreachable(TargetUnresponsive):
    """A call was not sent because the target could not be reached."""


class TargetGone(TargetUnreachable):
    """The host of the target refused the connection: no process listens there."""


class TargetFenced(TargetUnresponsive):
    """A call was refused because the target has seen a higher fencing token.

    Attributes
    ----------
    clock_ms : float
        Reading of the target's own monotonic clock.
    """

    def __init__(self, message, clock_ms):
        super().__init__(message)
        self.clock_ms = clock_ms


class StartWithheld(Exception):  # noqa: N818
    """A start was not sent, because the permission for it has ended."""


class TargetReplaced(Exception):  # noqa: N818
    """A different incarnation of the target answered; the expected one has ended."""


class TargetRestarted(TargetReplaced):
    """The different incarnation has the id of the expected one.

    It executes the calls that are addressed to that id.
    """


class StartResult(enum.Enum):
    """Answer of a target to the start of a run.

    Attributes
    ----------
    STARTED
        The run was started.
    NO_CAPACITY
        The target has too little free capacity.
    STALE_RUN
        The run number is not higher than the last one that the target has seen for the
        task.
    EXPIRED
        The start arrived after the lease that it carries had expired.
    FENCED
        The target has seen a higher fencing token.
    UNHEALTHY
        The target is overloaded or unavailable.
    MALFORMED
        The target refused the call as malformed, or for an unknown reason.
    """

    STARTED = "started"
    NO_CAPACITY = "no free capacity"
    STALE_RUN = "stale run"
    EXPIRED = "expired"
    FENCED = "fenced"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class RunOutcome(enum.Enum):
    """Way in which a run ended at its target.

    Attributes
    ----------
    DONE
        The task succeeded.
    FAILED
        The task failed.
    STOPPED
        The agent stopped the run.
    EXPIRED
        The lease of the run expired.
    ABANDONED
        The target ended the run for another reason; its outcome is unknown.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "expired"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class TargetIncarnation:
    """One incarnation of a target, as described by its announcement.

    Attributes
    ----------
    incarnation_id : str
        Id that calls are addressed to.
    started_ms : int
        Unix time of the start, in milliseconds; distinguishes incarnations that share
        an id.
    sequence : int
        Number that grows with each announcement, so that a delayed one is detected.
    service : str
        Service whose tasks the target runs.
    labels : tuple of str
        Labels that tasks can require.
    capacity : Resources
        Resources for all concurrent runs.
    leaving : bool
        Whether the target accepts no further runs because it is about to stop.
    clock_ms : int
        Reading of the target's own monotonic clock.
    """

    incarnation_id: str
    started_ms: int
    sequence: int
    service: str
    labels: tuple[str, ...]
    capacity: Resources
    leaving: bool
    clock_ms: int

    @property
    def identity(self):
        """Return the id and start time that together identify this incarnation."""
        return self.incarnation_id, self.started_ms


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """Run in progress at the target, with `percent` of its work done."""

    task: str
    run: int
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Ended run; `number` counts the ended runs of an incarnation from 1."""

    number: int
    task: str
    run: int
    kind: RunOutcome


@dataclass(frozen=True, slots=True)
class TargetState:
    """Runs in progress at a target, and ended runs that were not acknowledged.

    Attributes
    ----------
    running : tuple of ActiveRun
        Runs in progress.
    ended : tuple of EndedRun
        Ended runs that were not acknowledged.
    clock_ms : float
        Reading of the target's own monotonic clock.
    """

    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    clock_ms: float


class TargetChannel(abc.ABC):
    """Connection to one incarnation of the target, for one call at a time.

    Each call raises `TargetUnresponsive` if it gets no valid answer, `TargetGone` if
    the connection was refused and `TargetReplaced` if another incarnation answered. The
    call after a `TargetUnresponsive` opens a new connection. Only a poll is certain to
    notice another incarnation with the same id.

    A call that renews the lease of the target asks its caller for the expiry once the
    connection is open, as the last step before the call is sent. If the agent is
    suspended after that, the call arrives with an expiry that has passed.
    """

    @abc.abstractmethod
    async def start(self, task, run, spec, grant):
        """Start a run, renew the lease of all runs and return the `StartResult`.

        Parameters
        ----------
        grant : callable
            Returns the reading of the target's clock, in whole milliseconds, at which
            the lease expires; the target refuses a start that arrives later. May raise
            `StartWithheld`, after which nothing is sent.

        Raises
        ------
        StartWithheld
            If `grant` has raised it.
        """

    @abc.abstractmethod
    async def stop(self, task, run):
        """Stop a run; if its start arrives later, the target refuses it."""

    @abc.abstractmethod
    async def poll(self, wait_s, acknowledged, grant=None):
        """Return the `TargetState` once a run has ended, or after `wait_s` seconds.

        Parameters
        ----------
        acknowledged : int
            Number of the last ended run that was processed; the target discards the
            ended runs up to it.
        grant : callable or None
            Returns the expiry of the lease as for a start, or None; None leaves the
            lease of all runs as it is.

        Raises
        ------
        TargetFenced
            If the target has seen a higher fencing token.
        TargetRestarted
            If another incarnation with the id of the expected one answered.
        """

    @abc.abstractmethod
    async def aclose(self):
        """Close the connection."""


class TargetDriver(abc.ABC):
    """Opens channels to the incarnations of one target."""

    @abc.abstractmethod
    def follow_clock(self, incarnation, clock_ms):
        """Estimate the clock of an incarnation from now on.

        Parameters
        ----------
        incarnation : TargetIncarnation
            Incarnation; clock readings in the answers of others are ignored.
        clock_ms : float
            Reading of its clock, made just now.
        """

    @property
    @abc.abstractmethod
    def clock_ms(self):
        """Return the estimated reading, in ms, of the clock in use."""

    @property
    @abc.abstractmethod
    def earliest_clock_ms(self):
        """Return the lowest possible reading, in ms, of the clock in use.

        It differs from the estimate by as much as the clock may run slow.
        """

    @abc.abstractmethod
    def open_channel(self, incarnation, fencing_token):
        """Return a `TargetChannel` whose calls carry the fencing token `fencing_token`.

        The target ignores calls whose token is lower than the highest it has seen.
        """
