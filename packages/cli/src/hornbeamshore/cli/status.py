"""The ``status`` command: entries, partitions, agents and targets."""

import dataclasses

from hornbeamshore.cli.command import Command, ExitCode, Outcome, table_lines
from hornbeamshore.cli.operator import gather, load_operator


class ShowStatus(Command):
    """Show the status of all entries, their partitions and their agents.

    Parameters
    ----------
    settings : str
        Path of the operator's settings file.
    """

    def __init__(self, settings):
        self._cfg = load_operator(settings)

    async def run(self):
        """Return the status of the deployment.

        Returns
        -------
        Outcome
            Exit code ``NOT_SO`` if an entry sent no report or a partition has no
            owner.

        Raises
        ------
        CommandFailed
            If no entry sent a report.
        """
        gathered = await gather(self._cfg)
        statuses = [report.status for report in gathered.reports]
        agents = _agents(statuses)
        unowned = _unowned(statuses)
        report = {
            "code": 0,
            "entries": statuses,
            "unreached": [dataclasses.asdict(item) for item in gathered.unreached],
            "agents": [agents[name] for name in sorted(agents)],
            "unowned": unowned,
        }
        lines = [
            *_entry_lines(gathered),
            "",
            *_partition_lines(statuses),
            *(f"partition {name} has no owner among these entries" for name in unowned),
            "",
            *_agent_lines(agents, statuses),
        ]
        is_whole = not gathered.unreached and not unowned
        exit_code = ExitCode.OK if is_whole else ExitCode.NOT_SO
        return Outcome(exit_code, report, tuple(lines))


def _agents(statuses):
    """Return by id each agent's newest report, with all entries it is connected to."""
    agents = {}
    for status in statuses:
        for agent in status["agents"]:
            known = agents.get(agent["agent_id"], {"entries": [], "incarnation": 0})
            newer = agent if agent["incarnation"] >= known["incarnation"] else known
            revision = max(agent["revision"], known.get("revision", 0))
            entries = [*known["entries"], status["entry_id"]]
            merged = newer | {"entries": entries, "revision": revision}
            merged["leaving"] = agent["leaving"] or known.get("leaving", False)
            agents[agent["agent_id"]] = merged
    return agents


def _unowned(statuses):
    # Only what an owner reports of itself counts: the tables of other entries may
    # still name an owner that has ended.
    owned = {item["partition"] for status in statuses for item in status["partitions"]}
    expected = {name for status in statuses for name in status["expected_partitions"]}
    return sorted(expected - owned)


def _entry_lines(gathered):
    rows = []
    for report in gathered.reports:
        status = report.status
        rows.append(
            (
                status["entry_id"],
                report.address,
                status["data_centre"],
                status["incarnation"],
                status["revision"],
                status["table_version"],
                len(status["agents"]),
                status["submissions_in_flight"],
                "leaving" if status["draining"] else "serving",
            )
        )
    rows += [
        (item.entry_id, item.address, *"------", f"no report: {item.reason}")
        for item in gathered.unreached
    ]
    head = "ENTRY ADDRESS DATA-CENTRE INCARNATION REVISION TABLE AGENTS IN-FLIGHT STATE"
    return table_lines(head.split(), rows)


def _partition_lines(statuses):
    rows = []
    for status in statuses:
        for item in status["partitions"]:
            load = item["scheduler"]
            rows.append(
                (
                    item["partition"],
                    status["entry_id"],
                    "complete" if item["complete"] else "incomplete",
                    f"{load['busy']}/{load['slots']}",
                    sum(load["queued"].values()),
                    f"{max(load['wait_s'].values(), default=0):.2f} s",
                    item["jobs"],
                    sum(not entry["live"] for entry in item["roster"]),
                )
            )
    head = "PARTITION OWNER RECORDS BUSY QUEUED OLDEST JOBS GONE-AGENTS"
    return table_lines(head.split(), sorted(rows))


def _agent_lines(agents, statuses):
    health = {
        target["agent_id"]: target
        for status in statuses
        for item in status["partitions"]
        for target in item["scheduler"]["targets"]
    }
    rows = []
    for name, agent in sorted(agents.items()):
        target = health.get(name, {})
        rows.append(
            (
                name,
                agent["service"],
                agent["target"],
                agent["data_centre"],
                agent["incarnation"],
                agent["revision"],
                f"{target.get('busy', '-')}/{agent['slots']}",
                _rounded(target.get("slowness")),
                _rounded(target.get("success_rate")),
                _agent_state(agent, target),
            )
        )
    head = (
        "AGENT SERVICE TARGET DATA-CENTRE INCARNATION REVISION BUSY SLOWNESS"
        " SUCCESS STATE"
    )
    return table_lines(head.split(), rows)


def _agent_state(agent, target):
    if agent["leaving"] or target.get("draining"):
        return "leaving"
    return target.get("health", "unused")


def _rounded(value):
    return "-" if value is None else f"{value:.2f}"
