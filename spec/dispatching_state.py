"""Steps and state of the specification of direct dispatch."""

from dataclasses import dataclass

NOT_LOST = -1


@dataclass(frozen=True, slots=True)
class Place:
    """An entry assigns a run of the task to an agent and sends the start."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """An agent receives an order and queues its start."""

    run: int


@dataclass(frozen=True, slots=True)
class Send:
    """An agent sends a queued start to its target, which may execute it later."""

    run: int


@dataclass(frozen=True, slots=True)
class Execute:
    """A target executes the start of a run."""

    run: int


@dataclass(frozen=True, slots=True)
class Finish:
    """A run completes and its entry answers the caller."""

    run: int


@dataclass(frozen=True, slots=True)
class Stop:
    """An agent stops a run; its target refuses a later start of it."""

    run: int


@dataclass(frozen=True, slots=True)
class AbandonRun:
    """An entry considers the run of a lost agent ended."""

    run: int


@dataclass(frozen=True, slots=True)
class AbandonTarget:
    """An agent reports a run on an unreachable target to its entry as ended."""

    run: int


@dataclass(frozen=True, slots=True)
class LearnRunAbsent:
    """An entry learns from an agent's list of runs that a run is not on it."""

    run: int


@dataclass(frozen=True, slots=True)
class Adopt:
    """A restarted agent fences its target and stops the runs on it."""

    agent: int


@dataclass(frozen=True, slots=True)
class Cut:
    """The connection between entry 0 and an agent is lost permanently."""

    agent: int


@dataclass(frozen=True, slots=True)
class RestartAgent:
    """An agent restarts without its records of runs."""

    agent: int


@dataclass(frozen=True, slots=True)
class PauseAgent:
    """An agent is suspended."""

    agent: int


@dataclass(frozen=True, slots=True)
class ResumeAgent:
    """An agent resumes after a pause."""

    agent: int


@dataclass(frozen=True, slots=True)
class LoseTarget:
    """A target becomes unreachable from its agent."""

    agent: int


@dataclass(frozen=True, slots=True)
class PauseEntry:
    """Entry 0 is suspended."""


@dataclass(frozen=True, slots=True)
class ResumeEntry:
    """Entry 0 resumes after a pause."""


@dataclass(frozen=True, slots=True)
class LoseCaller:
    """The caller loses its connection to entry 0.

    With `entry_crashes`, the cause is a crash of entry 0.
    """

    entry_crashes: bool


@dataclass(frozen=True, slots=True)
class ReadDisconnect:
    """Entry 0 reads that its caller has disconnected."""


@dataclass(frozen=True, slots=True)
class Resend:
    """The caller submits a copy of the job to entry 1."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The clock advances by one tick."""


@dataclass(frozen=True, slots=True)
class Run:
    """One run of the task.

    Attributes
    ----------
    tracked : bool
        Whether its entry considers it open.
    known_to_agent : bool
        Whether its agent has a record of it; records are lost in a restart.
    queued : bool
        Whether its agent has not sent the start yet.
    pending : bool
        Whether its target may still execute a start that was sent.
    active : bool
        Whether its target executes it.
    in_flight : bool
        Whether the start has been sent but not yet delivered to the agent.
    """

    entry: int
    agent: int
    tracked: bool = True
    in_flight: bool = True
    known_to_agent: bool = False
    queued: bool = False
    pending: bool = False
    active: bool = False


@dataclass(frozen=True, slots=True)
class Agent:
    """One agent with its target.

    Attributes
    ----------
    adopted : bool
        Whether the agent has adopted its target since its last restart.
    is_disconnected : bool
        Whether its connection to entry 0 is lost.
    silence_ticks : int
        Ticks since the agent and entry 0 last exchanged messages, or since the order of
        a run.
    idle_ticks : int
        Ticks for which entry 0 had no run at the agent, whose messages are rarer then.
        It counts only where the rule `loss_counts_from_order` is disabled.
    paused : bool
        Whether the agent is suspended.
    reaches_target : bool
        Whether the agent can reach its target.
    target_silence_ticks : int
        Ticks since the lease at the target was last renewed.
    """

    adopted: bool = True
    is_disconnected: bool = False
    silence_ticks: int = 0
    idle_ticks: int = 0
    paused: bool = False
    reaches_target: bool = True
    target_silence_ticks: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """Agents, runs, the two entries and the connection of the caller.

    Attributes
    ----------
    job_open_at : tuple of bool
        Whether the job is open at entry 0 and at entry 1.
    paused, crashed : bool
        Whether entry 0 is suspended, and whether it has crashed.
    caller_lost_ticks : int
        Ticks since the caller lost its connection to entry 0, up to the resubmission;
        `NOT_LOST` before.
    disconnect_read : bool
        Whether entry 0 has read that its caller has disconnected.
    faults : int
        Number of faults so far.
    """

    agents: tuple[Agent, ...] = (Agent(), Agent())
    runs: tuple[Run, ...] = ()
    job_open_at: tuple[bool, bool] = (True, False)
    paused: bool = False
    crashed: bool = False
    caller_lost_ticks: int = NOT_LOST
    disconnect_read: bool = False
    faults: int = 0
