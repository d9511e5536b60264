"""The ``status`` command: entries, partitions, agents and targets."""

import dataclasses

from hornbeamshore.cli.command import Command, ExitCode, Outcome, format_table
from hornbeamshore.cli.operator import collect_reports, load_operator_settings


class ShowStatus(Command):
    """Show the status of all entries, their partitions and their agents.

    Parameters
    ----------
    settings : str
        Path of the operator's settings file.
    """

    def __init__(self, settings):
        self._cfg = load_operator_settings(settings)

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
        collected = await collect_reports(self._cfg)
        statuses = [report.status for report in collected.reports]
        agents = _merge_agents(statuses)
        unowned = _unowned_partitions(statuses)
        report = {
            "code": 0,
            "entries": statuses,
            "unreached": [dataclasses.asdict(item) for item in collected.unreached],
            "agents": [agents[name] for name in sorted(agents)],
            "unowned": unowned,
        }
        lines = [
            *_entry_lines(collected),
            "",
            *_partition_lines(statuses),
            *(f"partition {name} has no owner among these entries" for name in unowned),
            "",
            *_agent_lines(agents, statuses),
        ]
        is_complete = not collected.unreached and not unowned
        exit_code = ExitCode.OK if is_complete else ExitCode.NOT_SO
        return Outcome(exit_code, report, tuple(lines))


def _merge_agents(statuses):
    """Return by id each agent's newest report, with all entries it is connected to."""
    agents = {}
    for status in statuses:
        for agent in status["agents"]:
            previous = agents.get(agent["agent_id"], {"entries": [], "incarnation": 0})
            newest = (
                agent if agent["incarnation"] >= previous["incarnation"] else previous
            )
            revision = max(agent["revision"], previous.get("revision", 0))
            entries = [*previous["entries"], status["entry_id"]]
            merged = newest | {"entries": entries, "revision": revision}
            merged["leaving"] = agent["leaving"] or previous.get("leaving", False)
            agents[agent["agent_id"]] = merged
    return agents


def _unowned_partitions(statuses):
    # Only the owners' own reports count: the tables of other entries may still name
    # an owner that has ended.
    owned = {item["partition"] for status in statuses for item in status["partitions"]}
    expected = {name for status in statuses for name in status["expected_partitions"]}
    return sorted(expected - owned)


def _entry_lines(collected):
    rows = []
    for report in collected.reports:
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
        for item in collected.unreached
    ]
    header = (
        "ENTRY ADDRESS DATA-CENTRE INCARNATION REVISION TABLE AGENTS IN-FLIGHT STATE"
    )
    return format_table(header.split(), rows)


def _partition_lines(statuses):
    rows = []
    for status in statuses:
        for item in status["partitions"]:
            scheduler = item["scheduler"]
            rows.append(
                (
                    item["partition"],
                    status["entry_id"],
                    "complete" if item["complete"] else "incomplete",
                    f"{scheduler['busy']}/{scheduler['slots']}",
                    sum(scheduler["queued"].values()),
                    f"{max(scheduler['wait_s'].values(), default=0):.2f} s",
                    item["jobs"],
                    sum(not entry["live"] for entry in item["roster"]),
                )
            )
    header = "PARTITION OWNER RECORDS BUSY QUEUED OLDEST JOBS GONE-AGENTS"
    return format_table(header.split(), sorted(rows))


def _agent_lines(agents, statuses):
    target_by_agent = {
        target["agent_id"]: target
        for status in statuses
        for item in status["partitions"]
        for target in item["scheduler"]["targets"]
    }
    rows = []
    for name, agent in sorted(agents.items()):
        target = target_by_agent.get(name, {})
        rows.append(
            (
                name,
                agent["service"],
                agent["target"],
                agent["data_centre"],
                agent["incarnation"],
                agent["revision"],
                f"{target.get('busy', '-')}/{agent['slots']}",
                _format_decimal(target.get("slowness")),
                _format_decimal(target.get("success_rate")),
                _agent_state(agent, target),
            )
        )
    header = (
        "AGENT SERVICE TARGET DATA-CENTRE INCARNATION REVISION BUSY SLOWNESS"
        " SUCCESS STATE"
    )
    return format_table(header.split(), rows)


def _agent_state(agent, target):
    if agent["leaving"] or target.get("draining"):
        return "leaving"
    return target.get("health", "unused")


def _format_decimal(value):
    return "-" if value is None else f"{value:.2f}"
