"""Status reports of an entry and periodic updates of its metrics."""

import time

import msgspec
import trio

UPDATE_INTERVAL_S = 1.0


def status_report(entry):
    """Return the status of an entry for operators, as a JSON-serialisable dict."""
    now = trio.current_time()
    return {
        "entry_id": entry.entry_id,
        "incarnation": entry.identity.incarnation,
        "data_centre": entry.cfg.data_centre,
        "draining": entry.leaving,
        "revision": entry.replica.revision,
        "table_version": entry.table.version,
        "entries": [msgspec.to_builtins(item) for item in entry.table.entries],
        "peers": sorted(conn.peer.process_id for conn in entry.peers.all()),
        "submissions_in_flight": entry.in_flight,
        "dispatch": entry.metrics.dispatch_totals(),
        "expected_partitions": [str(item) for item in entry.partitions()],
        "agents": [_agent_status(entry, link) for link in entry.agents.all()],
        "partitions": [
            _owner_status(owner, now)
            for owner in entry.owners.values()
            if owner.dispatcher.is_active
        ],
    }


def burn_report(entry):
    """Return the burn rates of an entry, as a JSON-serialisable dict.

    The dict is empty before a configuration is in force.
    """
    deployment = entry.deployment()
    if deployment is None:
        return {}
    report = entry.windows.report(deployment, entry.replica.revision, time.time())
    return msgspec.to_builtins(report)


async def update_metrics(entry):
    """Update gauges and traffic counters periodically until cancelled."""
    traffic = {}
    while True:
        entry.windows.observe(time.time())
        entry.metrics.set_config_revision(entry.replica.revision)
        for owner in entry.owners.values():
            if owner.dispatcher.is_active:
                _update_target_gauges(entry, owner)
        traffic = _count_traffic(entry, traffic)
        await trio.sleep(UPDATE_INTERVAL_S)


def _update_target_gauges(entry, owner):
    snapshot = owner.dispatcher.scheduler.snapshot(trio.current_time())
    states = dict.fromkeys(("live", "ejected", "leaving"), 0)
    for target in snapshot.targets:
        states[_target_state(target)] += 1
    states["lost"] = sum(not item.live for item in owner.roster.entries)
    slots = sum(target.slots for target in snapshot.targets)
    in_use = sum(target.busy for target in snapshot.targets)
    entry.metrics.set_targets(owner.partition.service, slots, in_use, states)


def _target_state(target):
    if target.draining:
        return "leaving"
    return "ejected" if target.health == "ejected" else "live"


def _count_traffic(entry, previous_totals):
    """Count the traffic since the totals of the last call; return new totals.

    Totals are (messages sent, bytes sent, messages received, bytes received) by
    connection.
    """
    conns = {link.conn for link in entry.agents.all()}
    conns |= set(entry.peers.connections())
    totals = {}
    for conn in conns:
        current = (conn.messages_sent, conn.bytes_sent)
        current += (conn.messages_received, conn.bytes_received)
        previous = previous_totals.get(conn, (0, 0, 0, 0))
        delta = [new - old for new, old in zip(current, previous, strict=True)]
        entry.metrics.count_peer_traffic(conn.peer.kind, "out", *delta[:2])
        entry.metrics.count_peer_traffic(conn.peer.kind, "in", *delta[2:])
        totals[conn] = current
    return totals


def _agent_status(entry, link):
    return {
        "agent_id": link.agent_id,
        "incarnation": link.conn.peer.incarnation,
        "service": link.service,
        "target": link.target,
        "data_centre": link.data_centre,
        "rack": link.rack,
        "slots": link.slots,
        "labels": link.labels,
        "revision": entry.slices.in_force(link.conn),
        "leaving": link.leaving,
        "messages": link.conn.messages_sent + link.conn.messages_received,
        "bytes": link.conn.bytes_sent + link.conn.bytes_received,
    }


def _owner_status(owner, now):
    term = owner.dispatcher.term
    return {
        "partition": owner.name,
        "epoch": str(owner.epoch),
        "complete": term.complete,
        "since_ms": term.since_ms,
        "jobs": len(owner.dispatcher.jobs),
        "roster": [msgspec.to_builtins(item) for item in owner.roster.entries],
        "scheduler": msgspec.to_builtins(owner.dispatcher.scheduler.snapshot(now)),
    }
