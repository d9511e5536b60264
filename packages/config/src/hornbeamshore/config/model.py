"""Model of a deployment file: services, kinds of work, teams and objectives."""

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from hornbeamshore.base.units import Bounds, ByteSize, Duration

# Names are part of paths of the HTTP interface and of keys in the store.
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")]
Label = Annotated[str, Meta(min_length=1, max_length=64)]
Weight = Annotated[float, Meta(ge=0.01, le=100)]


class Urgency(enum.StrEnum):
    """Priority classes of kinds of work, in descending order."""

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
        Required share of good answers, such as 0.99.
    """

    good_within: Annotated[Duration, Bounds("1ms", "60s")]
    target: Annotated[float, Meta(gt=0, lt=1)]


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of work that a service does.

    Attributes
    ----------
    urgency : Urgency
        Priority class in which its tasks are queued.
    repeatable : bool
        Whether a single request may be run again after a failure.
    deadline : Duration
        Default deadline of a request, for callers that give none.
    expected_run : Duration
        Expected run time of a task, used until run times have been measured.
    max_body : ByteSize
        Maximum size of a task's body.
    weight : float
        Scheduling weight relative to the other kinds of the same priority class.
    requires : tuple of str
        Labels that a target must have to run this kind.
    objective : Objective or None
        Service-level objective; without one no burn rate is reported.
    """

    urgency: Urgency = Urgency.NORMAL
    repeatable: bool = False
    deadline: Annotated[Duration, Bounds("1ms", "60s")] = Duration(10.0)
    expected_run: Annotated[Duration, Bounds("1ms", "60s")] = Duration(0.2)
    max_body: Annotated[ByteSize, Bounds("1B", "8MiB")] = ByteSize(64 * 1024)
    weight: Weight = 1.0
    requires: tuple[Label, ...] = ()
    objective: Objective | None = None


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Retry policy for the repeatable single requests of a service.

    Attributes
    ----------
    budget : float
        Maximum ratio of retries to first attempts, on average.
    max_attempts : int
        Maximum number of attempts of one request, including the first.
    backoff : Duration
        Mean delay before the first retry; it doubles with each further one.
    """

    budget: Annotated[float, Meta(ge=0, le=0.1)] = 0.1
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    backoff: Annotated[Duration, Bounds("1ms", "10s")] = Duration(0.05)


@dataclass(frozen=True, slots=True)
class Service:
    """Service that targets offer.

    Attributes
    ----------
    kinds : dict of str to Kind
        Kinds of work by name.
    home_region : str
        Region whose entries own the partitions; may be empty if there is only one.
    partitions : int
        Number of partitions of its job keys and targets; fixed while it exists.
    retry : RetryRules
        Retry policy for repeatable single requests.
    """

    kinds: Annotated[dict[Name, Kind], Meta(min_length=1)]
    home_region: Annotated[str, Meta(max_length=63)] = ""
    partitions: Annotated[int, Meta(ge=1, le=4096)] = 1
    retry: RetryRules = RetryRules()


@dataclass(frozen=True, slots=True)
class Team:
    """Team of callers, with its token, quota and weight.

    Attributes
    ----------
    token_sha256 : str
        SHA-256 digest of the team's bearer token, in hexadecimal.
    quota_slots : int
        Maximum number of slots that the team's running tasks occupy at a time.
    weight : float
        Scheduling weight relative to the other teams, within a priority class.
    services : tuple of str
        Services that the team may use; empty for all.
    """

    token_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
    quota_slots: Annotated[int, Meta(ge=1, le=1_000_000)]
    weight: Weight = 1.0
    services: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True)
class Deployment:
    """Root of a deployment file.

    Attributes
    ----------
    deployment : str
        Name of the deployment, the same as in the settings of its processes.
    services : dict of str to Service
        Services by name.
    teams : dict of str to Team
        Teams by name.
    retention : Duration
        Time for which the record of a submission is kept after it ended.
    """

    deployment: Name
    services: Annotated[dict[Name, Service], Meta(min_length=1)]
    teams: dict[Name, Team] = field(default_factory=dict)
    # Longer than the longest deadline, so that a start expires before its record.
    retention: Annotated[Duration, Bounds("2min", "1h")] = Duration(300.0)
