"""Model of a deployment file: services, kinds of work, teams and objectives."""

import enum
from dataclasses import dataclass, field

from hornbeamshore.base.settings import ByteSize, Duration


class Urgency(enum.StrEnum):
    """Class of urgency of a kind of work, the most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


@dataclass(frozen=True, slots=True)
class Objective:
    """Service-level objective of a kind.

    Attributes
    ----------
    good_within : Duration
        Response time up to which an answer counts as good.
    target : float
        Share of good answers that is promised, such as 0.99.
    """

    good_within: Duration
    target: float


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of work of a service.

    Attributes
    ----------
    urgency : Urgency
        Class in which its tasks are queued.
    repeatable : bool
        Whether a single request may be run again after a failure.
    deadline : Duration
        Time to answer where the caller gives none.
    expected_run : Duration
        Declared run time of a task, used until run times are learned.
    max_body : ByteSize
        Bound of a task's body.
    weight : float
        Share among the kinds of one class.
    requires : tuple of str
        Labels that a target must have to run this kind.
    """

    urgency: Urgency = Urgency.NORMAL
    repeatable: bool = False
    deadline: Duration = Duration(10.0)
    expected_run: Duration = Duration(0.2)
    max_body: ByteSize = ByteSize(64 * 1024)
    weight: float = 1.0
    requires: tuple[str, ...] = ()
    objective: Objective | None = None


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Retries of a service's repeatable single requests.

    Attributes
    ----------
    budget : float
        Retries allowed for each request, on average.
    max_attempts : int
        Attempts of one request, the first included.
    backoff : Duration
        Mean pause before the first retry; it doubles for each further one.
    """

    budget: float = 0.1
    max_attempts: int = 3
    backoff: Duration = Duration(0.05)


@dataclass(frozen=True, slots=True)
class Service:
    """Service that targets offer.

    Attributes
    ----------
    kinds : dict of str to Kind
        Kinds of work by name.
    home_region : str
        Region whose entries own the partitions; empty for the only one.
    partitions : int
        Shares of keys and targets; fixed while the service exists.
    """

    kinds: dict[str, Kind]
    home_region: str = ""
    partitions: int = 1
    retry: RetryRules = RetryRules()


@dataclass(frozen=True, slots=True)
class Team:
    """Team of callers.

    Attributes
    ----------
    token_sha256 : str
        Hexadecimal digest of the team's bearer token.
    quota_slots : int
        Slots that the team's running tasks may take at a time.
    weight : float
        Share among the teams of one class.
    services : tuple of str
        Services that the team may use; empty for all.
    """

    token_sha256: str
    quota_slots: int
    weight: float = 1.0
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Deployment:
    """Whole content of a deployment file.

    Attributes
    ----------
    retention : Duration
        Time for which the record of a submission is kept after it ended.
    """

    deployment: str
    services: dict[str, Service]
    teams: dict[str, Team] = field(default_factory=dict)
    retention: Duration = Duration(300.0)
