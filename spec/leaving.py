"""Specification of a leaving target: until when a task may still start on it."""

from dataclasses import dataclass, replace

from spec.checking import Specification
from spec.variant import Variant

BOUND_TICKS = 2  # Requirement P6 allows 2 s; a tick is 1 s.
PROBE_INTERVAL_TICKS = 1  # An agent detects within 1 s that its target is leaving.
NOT_LEFT = -1
NO_LATE_START = "no work starts more than the bound after leaving"


@dataclass(frozen=True, slots=True)
class LeaveTarget:
    """The target begins to leave."""


@dataclass(frozen=True, slots=True)
class Probe:
    """The agent probes whether its target is leaving."""


@dataclass(frozen=True, slots=True)
class InformOwner:
    """The owner receives the agent's message that the target is leaving."""


@dataclass(frozen=True, slots=True)
class SendStart:
    """The owner sends a start to the agent."""


@dataclass(frozen=True, slots=True)
class DeliverStart:
    """The agent receives a start and runs or refuses it."""


@dataclass(frozen=True, slots=True)
class PauseAgent:
    """The agent is suspended."""


@dataclass(frozen=True, slots=True)
class ResumeAgent:
    """The agent resumes after a pause."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The clock advances by one tick."""


@dataclass(frozen=True, slots=True)
class State:
    """Clock, target, agent, owner and starts in flight.

    Attributes
    ----------
    now : int
        Time in ticks.
    left_at : int
        Time at which the target began to leave; `NOT_LEFT` before.
    probed_at : int
        Time of the agent's last probe.
    leave_detected : bool
        Whether that probe found that the target is leaving.
    pauses : int
        Number of pauses of the agent so far.
    owner_informed : bool
        Whether the owner has been informed that the target is leaving.
    starts_sent, starts_in_flight : int
        Number of starts sent in total, and of those not yet delivered.
    late_start : bool
        Whether the last start that ran was later than the bound allows.
    """

    now: int = 0
    left_at: int = NOT_LEFT
    probed_at: int = 0
    leave_detected: bool = False
    paused: bool = False
    pauses: int = 0
    owner_informed: bool = False
    starts_sent: int = 0
    starts_in_flight: int = 0
    late_start: bool = False


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; each broken variant disables one of them.

    Attributes
    ----------
    agent_refuses : bool
        An agent refuses starts once a probe has found its target leaving.
    probe_is_recent : bool
        An agent refuses starts if its last probe is older than the probe interval.
    """

    agent_refuses: bool = True
    probe_is_recent: bool = True


class Leaving(Specification):
    """One target with its agent, and an owner whose starts may be delayed."""

    invariants = (NO_LATE_START,)

    def __init__(self, name, ticks=8, starts=3, pauses=1, rules=None):
        self.name = name
        self.max_ticks = ticks
        self.max_starts = starts
        self.max_pauses = pauses
        self.rules = rules or Rules()
        self.bounds = (
            f"ticks={ticks} starts={starts} pauses={pauses} bound={BOUND_TICKS}"
        )

    def initial(self):
        """Return the state with a target in service."""
        return State()

    def violations(self, state):
        """Return the violated invariant if a start has run too late."""
        return frozenset((NO_LATE_START,) if state.late_start else ())

    def steps(self, state):
        """Return the steps that are enabled in a state.

        The clock does not advance while the probe of a running agent is due.
        """
        overdue = (
            not state.paused and state.now - state.probed_at >= PROBE_INTERVAL_TICKS
        )
        guarded_steps = (
            (LeaveTarget(), state.left_at == NOT_LEFT),
            (Probe(), not state.paused and state.probed_at < state.now),
            (InformOwner(), state.leave_detected and not state.owner_informed),
            (
                SendStart(),
                state.starts_sent < self.max_starts and not state.owner_informed,
            ),
            (DeliverStart(), state.starts_in_flight > 0 and not state.paused),
            (PauseAgent(), not state.paused and state.pauses < self.max_pauses),
            (ResumeAgent(), state.paused),
            (Tick(), state.now < self.max_ticks and not overdue),
        )
        return [step for step, enabled in guarded_steps if enabled]

    def apply(self, state, step):
        """Return the successor of a state under a step."""
        return self._effects[type(step)](self, state)

    def _do_leave_target(self, state):
        return replace(state, left_at=state.now)

    def _do_probe(self, state):
        leave_detected = state.left_at != NOT_LEFT
        return replace(state, probed_at=state.now, leave_detected=leave_detected)

    def _do_inform_owner(self, state):
        return replace(state, owner_informed=True)

    def _do_send_start(self, state):
        return replace(
            state,
            starts_sent=state.starts_sent + 1,
            starts_in_flight=state.starts_in_flight + 1,
        )

    def _do_deliver_start(self, state):
        state = replace(state, starts_in_flight=state.starts_in_flight - 1)
        stale = state.now - state.probed_at > PROBE_INTERVAL_TICKS
        if self.rules.agent_refuses and state.leave_detected:
            return state
        if self.rules.probe_is_recent and stale:
            return state
        left = state.left_at != NOT_LEFT
        late_start = left and state.now - state.left_at > BOUND_TICKS
        return replace(state, late_start=late_start)

    def _do_pause_agent(self, state):
        return replace(state, paused=True, pauses=state.pauses + 1)

    def _do_resume_agent(self, state):
        return replace(state, paused=False)

    def _do_tick(self, state):
        return replace(state, now=state.now + 1)

    _effects = {
        LeaveTarget: _do_leave_target,
        Probe: _do_probe,
        InformOwner: _do_inform_owner,
        SendStart: _do_send_start,
        DeliverStart: _do_deliver_start,
        PauseAgent: _do_pause_agent,
        ResumeAgent: _do_resume_agent,
        Tick: _do_tick,
    }


def _broken(rule, *, added_later=False):
    spec = Leaving(f"without {rule}", rules=Rules(**{rule: False}))
    return Variant(spec, NO_LATE_START, added_later)


SOUND = (Variant(Leaving("leaving target")),)
BROKEN = (_broken("agent_refuses"), _broken("probe_is_recent", added_later=True))
