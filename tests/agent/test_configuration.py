"""Configuration of agents: slices that entries send and that agents apply."""

from types import SimpleNamespace

import pytest

from hornbeamshore.agent.configuration import AgentConfig
from hornbeamshore.base.hashing import content_digest
from hornbeamshore.config import content
from hornbeamshore.config.check import check_deployment
from hornbeamshore.config.replica import ConfigReplica
from hornbeamshore.entry.slices import AgentSlices

BAD = b"no slice of a configuration"


def deployment(retention="5min", quota=1):
    team = f"{{token_sha256: {'a' * 64}, quota_slots: {quota}}}"
    text = f"deployment: x\nretention: {retention}\nteams: {{t: {team}}}\n"
    text += "services: {desk: {kinds: {quote: {}}}, other: {kinds: {hold: {}}}}\n"
    return check_deployment(text).unwrap().deployment


def slice_of(retention):
    return content.encode_slice(deployment(retention), "desk")


TWO, FIVE = slice_of("2min"), slice_of("5min")

# Revisions applied in order, then the revision and the retention in force.
APPLY_CASES = {
    "first": ([(3, TWO)], 3, 120),
    "higher revision": ([(3, TWO), (4, FIVE)], 4, 300),
    "lower revision": ([(4, FIVE), (3, TWO)], 4, 300),
    "same revision": ([(4, FIVE), (4, TWO)], 4, 300),
    "digest of slice in force": ([(3, TWO), (9, content_digest(TWO))], 9, 120),
    "digest of other slice": ([(3, TWO), (9, content_digest(FIVE))], 3, 120),
    "digest before any slice": ([(9, content_digest(TWO))], 0, None),
    "invalid content": ([(3, TWO), (4, BAD)], 3, 120),
    "truncated content": ([(3, TWO), (4, FIVE[:-5])], 3, 120),
}


@pytest.mark.parametrize(
    ("steps", "revision", "retention"), APPLY_CASES.values(), ids=APPLY_CASES
)
def test_agent_applies_higher_revisions_only(steps, revision, retention):
    """Guards against a reverted or a partly applied configuration."""
    config = AgentConfig()
    for step in steps:
        config.apply(*step)
    assert config.revision == revision
    assert (config.current and config.current.retention) == retention


class Conn:
    """Connection that records the messages sent."""

    def __init__(self):
        self.sent = []

    def try_send(self, body):
        self.sent.append((body.revision, len(body.content) == 8))


# Steps: a deployment with its revision, or a revision that the agent reports. Then the
# messages sent, as revision and whether the content is a digest.
SEND_CASES = {
    "revision already reported": ([(1, {}), 1], [(1, False)]),
    "other part of deployment changed": (
        [(1, {}), 1, (2, {"quota": 2})],
        [(1, False), (2, True)],
    ),
    "slice changed": (
        [(1, {}), 1, (2, {"retention": "2min"})],
        [(1, False), (2, False)],
    ),
    "received from another entry": ([1, (1, {})], []),
    "agent has newer revision": ([5, (1, {})], []),
}


@pytest.mark.parametrize(("steps", "sent"), SEND_CASES.values(), ids=SEND_CASES)
def test_entry_sends_only_missing_configuration(steps, sent):
    """Guards against outdated agents and against content that is sent needlessly."""
    replica = ConfigReplica("x")
    slices = AgentSlices(replica)
    link = SimpleNamespace(conn=Conn(), service="desk")
    for step in steps:
        if isinstance(step, int):
            slices.record_revision(link.conn, step)
        else:
            revision, options = step
            replica.update(revision, content.encode(deployment(**options), "an id"))
            slices.send_update(link)
    assert link.conn.sent == sent
