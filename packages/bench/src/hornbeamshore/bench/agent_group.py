"""Many agents in one process, each with a target that does no work.

``python -m hornbeamshore.bench.agent_group --settings FILE --count N`` runs `N` agents
with numbered ids and the settings of one, each with its own connections to entries. It
is used where one process for each agent would be too many.
"""

import dataclasses
import sys

import fire
import trio

from hornbeamshore.agent import settings as agent_settings
from hornbeamshore.agent.daemon import Agent
from hornbeamshore.agent.target import SlotConnection, Target, TargetResponse
from hornbeamshore.base.logs import configure_logs
from hornbeamshore.base.settings import convert


class _NoOpSlot(SlotConnection):
    async def exchange(self, spec, headers):
        self.request_sent = True
        await trio.lowlevel.checkpoint()
        return TargetResponse(200, (), b"{}")

    async def aclose(self):
        await trio.lowlevel.checkpoint()


class NoOpTarget(Target):
    """Target that answers each task immediately."""

    def new_slot_connection(self):
        """Return a slot that answers immediately."""
        return _NoOpSlot()


async def run(cfg, count):
    """Run `count` agents until the process is stopped."""
    secret = agent_settings.read_secret(cfg.secret_file)
    async with trio.open_nursery() as nursery:
        for number in range(count):
            agent_cfg = dataclasses.replace(cfg, agent_id=f"{cfg.agent_id}-{number}")
            Agent(agent_cfg, secret, NoOpTarget()).start(nursery)


def main(settings, count):
    """Run numbered agents with the same settings until the process is stopped.

    Parameters
    ----------
    settings : str
        Path of the settings file of one agent.
    count : int
        Number of agents.
    """
    cfg = convert(agent_settings.load(settings), agent_settings.AgentSettings)
    configure_logs("warning")
    trio.run(run, cfg, count)


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
