"""Configuration revisions in force on the processes of a deployment."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProcessRevision:
    """Configuration revision in force on one process.

    Attributes
    ----------
    process : str
        ``entry`` or ``agent``, a space and the id.
    revision : int or None
        None if the process sent no report.
    detail : str
        Data centre of the process, or the reason why its revision is unknown.
    service : str
        Service of an agent; empty for an entry.
    """

    process: str
    revision: int | None
    detail: str = ""
    service: str = ""

    def has_in_force(self, revision):
        """Return whether this revision or a later one is in force on the process."""
        return self.revision is not None and self.revision >= revision


def list_revisions(collected):
    """Return the `ProcessRevision` of each entry and of each agent that they report."""
    processes = [
        ProcessRevision(f"entry {item.entry_id}", None, item.reason)
        for item in collected.unreached
    ]
    agents = {}
    for report in collected.reports:
        status = report.status
        name, data_centre = status["entry_id"], status["data_centre"]
        processes.append(
            ProcessRevision(f"entry {name}", status["revision"], data_centre)
        )
        for agent in status["agents"]:
            agents.setdefault(agent["agent_id"], []).append(agent)
    for name, agent_reports in sorted(agents.items()):
        # Entries may learn of an agent's new revision at different times.
        revision = max(agent["revision"] for agent in agent_reports)
        data_centre, service = (
            agent_reports[0]["data_centre"],
            agent_reports[0]["service"],
        )
        processes.append(
            ProcessRevision(f"agent {name}", revision, data_centre, service)
        )
    return tuple(processes)


def without_revision(processes, revision, services=None):
    """Return the processes on which a revision is not in force.

    Parameters
    ----------
    services : container of str, optional
        Services of the configuration. Agents of other services are left out, because
        they never receive a revision. By default, all agents count.
    """
    return tuple(
        item
        for item in processes
        if not item.has_in_force(revision)
        and (services is None or not item.service or item.service in services)
    )


def newest_revision(processes):
    """Return the highest revision in force on any process; 0 if there is none."""
    return max((item.revision or 0 for item in processes), default=0)
