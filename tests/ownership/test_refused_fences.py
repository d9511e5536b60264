"""Log lines that name what keeps a candidate from owning a partition."""

import dataclasses

import trio

from hornbeamshore.agent import daemon as agent_module
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration
from hornbeamshore.entry import ownership as ownership_module
from spec.ownership_state import Bounds
from tests.spec.system_under_test import SystemUnderTest, entry_id


async def test_missing_quorum_is_logged_with_its_causes(
    mock_clock, monkeypatch, caplog
):
    """Guards against a candidate without a quorum whose logs don't tell the reason."""
    caplog.set_level("INFO", "absl")
    # Lines of other tests must not use up the limit of lines a second.
    monkeypatch.setattr(agent_module, "log", PartLogger("agent"))
    monkeypatch.setattr(ownership_module, "log", PartLogger("owner"))
    async with trio.open_nursery() as nursery:
        system = SystemUnderTest(Bounds(agents=3), mock_clock, monkeypatch, nursery)
        await system.start()
        system.network.holds_messages = False
        candidate = system.entries[1]
        cfg = dataclasses.replace(candidate.owner.cfg, acquire_timeout=Duration(3.0))
        candidate.owner.cfg = cfg
        await system._stop_agent(1)
        candidate.set_candidate(entry_id(1))
        for _ in range(3):
            await system.advance_time()
        assert not candidate.owner.in_term
        nursery.cancel_scope.cancel()
    (missing,) = [line for line in caplog.messages if "No quorum" in line]
    assert missing.endswith("replies of agents: agent-0 509, agent-1 not connected.")
    (refused,) = [
        line for line in caplog.messages if "Entry entry-1 was refused" in line
    ]
    assert "code 509; the owner ('entry-0', 1) at epoch" in refused
