"""Variants of the specification of ownership that `make model` explores."""

from spec import ownership_steps as st
from spec.ownership import Ownership
from spec.ownership_rules import NO_DOUBLE_START, NO_FALSE_NOT_RUN, NO_PARTIAL_ANSWER
from spec.ownership_state import Bounds, Rules
from spec.variant import Variant


def _sound(name, *, prefix=(), **bounds):
    return Variant(Ownership(f"ownership: {name}", Bounds(**bounds), prefix=prefix))


def _broken(rule, invariant, *, added_later=False, prefix=(), **bounds):
    rules = Rules(**{rule: False})
    spec = Ownership(f"without {rule}", Bounds(**bounds), rules, prefix)
    return Variant(spec, invariant, added_later)


# A candidate fences one of the owner's three agents, and the owner declares it lost.
ONE_AGENT_LOST = (
    st.Takeover(1),
    st.Disconnect(0, 0),
    st.ExpirePromise(0, 0),
    st.Fence(1, 0),
    st.DeclareLost(0, 0),
)

SOUND = (
    _sound("owner crashes", crashes=1),
    _sound("owner crashes, two tasks", tasks=2, crashes=1),
    _sound("owner pauses", pauses=1, refusals=1),
    _sound("connections break", breaks=2),
    _sound("copies of a submission", calls=1, copies=2, refusals=1, crashes=1),
    _sound("starts refused and repeated", calls=1, attempts=2, repeats=1, refusals=1),
    _sound(
        "outcome by identifier",
        calls=1,
        copies=2,
        attempts=2,
        reconciles=1,
        crashes=1,
    ),
    _sound("agent lost", crashes=1, agent_losses=1),
    _sound("agent pauses", agent_pauses=1),
    _sound("agent joins", joined=1, joins=1, crashes=1),
    _sound("agent leaves", crashes=1, leaves=1),
    _sound("handover", releases=1, takeovers=2),
    _sound("three candidates", entries=3, calls=2, takeovers=2, crashes=1),
    _sound(
        "store down",
        calls=1,
        copies=1,
        crashes=1,
        table_writes=1,
        store_outages=1,
    ),
    _sound(
        "answers lost",
        calls=1,
        copies=2,
        crashes=1,
        table_writes=1,
        lost_answers=1,
    ),
    _sound("entry restarts", entries=1, crashes=1, restarts=1, table_writes=1),
    _sound(
        "all restart",
        entries=1,
        joined=1,
        joins=1,
        crashes=1,
        agent_losses=1,
        restarts=1,
        table_writes=1,
    ),
    _sound(
        "roster changes",
        prefix=ONE_AGENT_LOST,
        agents=3,
        joined=3,
        breaks=2,
    ),
    _sound("retention passes", crashes=1, retentions=1),
)

# `added_later` marks rules that were missing from the first design.
BROKEN = (
    _broken("owner_lease", NO_DOUBLE_START, added_later=True, breaks=1),
    _broken("owner_lease", NO_FALSE_NOT_RUN, added_later=True, breaks=1, refusals=1),
    _broken("agents_fence", NO_DOUBLE_START, pauses=1),
    _broken(
        "epoch_has_rank",
        NO_DOUBLE_START,
        prefix=(st.Release(0, -1), st.Takeover(0), st.Takeover(1)),
        takeovers=2,
        releases=1,
    ),
    _broken(
        "incarnation_listed",
        NO_DOUBLE_START,
        added_later=True,
        entries=1,
        crashes=1,
        restarts=1,
    ),
    _broken("wait_for_completeness", NO_DOUBLE_START, crashes=1),
    _broken(
        "completeness_by_task", NO_DOUBLE_START, added_later=True, tasks=2, crashes=1
    ),
    _broken("keep_roster", NO_DOUBLE_START, crashes=1),
    _broken(
        "roster_before_start",
        NO_DOUBLE_START,
        added_later=True,
        joined=1,
        joins=1,
        crashes=1,
    ),
    _broken(
        "no_roster_is_incomplete",
        NO_DOUBLE_START,
        added_later=True,
        entries=1,
        joined=1,
        joins=1,
        crashes=1,
        agent_losses=1,
        restarts=1,
        table_writes=1,
    ),
    _broken("copy_before_accounting", NO_DOUBLE_START, crashes=1, agent_losses=1),
    _broken("account_only_fenced", NO_DOUBLE_START, breaks=1, crashes=1),
    _broken(
        "roster_change_by_quorum",
        NO_DOUBLE_START,
        added_later=True,
        prefix=ONE_AGENT_LOST,
        agents=3,
        joined=3,
        breaks=2,
    ),
    _broken("unknown_key_is_unanswered", NO_FALSE_NOT_RUN, crashes=1),
    _broken(
        "refusals_kept",
        NO_DOUBLE_START,
        added_later=True,
        calls=1,
        attempts=2,
        repeats=1,
        refusals=1,
        takeovers=0,
    ),
    _broken(
        "reconcile_refuses",
        NO_DOUBLE_START,
        calls=1,
        attempts=2,
        reconciles=1,
        takeovers=0,
    ),
    _broken(
        "duplicate_is_no_refusal",
        NO_DOUBLE_START,
        added_later=True,
        calls=1,
        attempts=2,
        repeats=1,
        takeovers=0,
    ),
    _broken(
        "outcome_matched_by_agent",
        NO_DOUBLE_START,
        added_later=True,
        calls=1,
        copies=2,
        attempts=2,
        reconciles=1,
        takeovers=0,
    ),
    _broken(
        "all_copies_refused",
        NO_FALSE_NOT_RUN,
        added_later=True,
        calls=1,
        copies=2,
        refusals=1,
        crashes=1,
    ),
    _broken(
        "former_owner_does_not_answer", NO_FALSE_NOT_RUN, added_later=True, pauses=1
    ),
    _broken("wait_for_all_results", NO_PARTIAL_ANSWER, calls=1, tasks=2, takeovers=0),
    _broken("results_by_task", NO_PARTIAL_ANSWER, calls=1, tasks=2, takeovers=0),
    _broken(
        "copy_before_leave_reply",
        NO_DOUBLE_START,
        added_later=True,
        crashes=1,
        leaves=1,
    ),
    _broken(
        "keys_carry_submission_time",
        NO_DOUBLE_START,
        added_later=True,
        takeovers=0,
        retentions=1,
    ),
)
