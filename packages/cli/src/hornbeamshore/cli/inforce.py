"""Which process has which revision of the configuration in force."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProcessRevision:
    """Revision in force in one process; None where it gave no report.

    Attributes
    ----------
    process : str
        ``entry`` or ``agent`` and the id.
    detail : str
        Why the revision is not known, or where the process is.
    service : str
        Service of an agent.
    """

    process: str
    revision: int | None
    detail: str = ""
    service: str = ""

    def has(self, revision):
        """Return whether the process has this revision, or a higher one, in force."""
        return self.revision is not None and self.revision >= revision


def revisions(gathered):
    """Return the `ProcessRevision` of each entry and each reported agent."""
    found = [
        ProcessRevision(f"entry {item.entry_id}", None, item.reason)
        for item in gathered.unreached
    ]
    agents = {}
    for report in gathered.reports:
        status = report.status
        name, place = status["entry_id"], status["data_centre"]
        found.append(ProcessRevision(f"entry {name}", status["revision"], place))
        for agent in status["agents"]:
            agents.setdefault(agent["agent_id"], []).append(agent)
    for name, seen in sorted(agents.items()):
        # Entries hear of an agent's revision at slightly different times.
        revision = max(agent["revision"] for agent in seen)
        place, service = seen[0]["data_centre"], seen[0]["service"]
        found.append(ProcessRevision(f"agent {name}", revision, place, service))
    return tuple(found)


def missing(found, revision, services=None):
    """Return the processes that do not have a revision in force.

    Parameters
    ----------
    services : container of str, optional
        Services of the configuration; agents of others never get a revision.
    """
    return tuple(
        item
        for item in found
        if not item.has(revision)
        and (services is None or not item.service or item.service in services)
    )


def newest(found):
    """Return the highest revision that any process has in force, 0 for none."""
    return max((item.revision or 0 for item in found), default=0)
