"""Shared state of an entry process."""

import contextlib
from dataclasses import dataclass

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import Epoch, JobAnswer, Partition, partition_of
from hornbeamshore.entry import reporting
from hornbeamshore.entry import table as tables
from hornbeamshore.entry.agents import AgentLinks, partition_of_agent
from hornbeamshore.entry.events import ChangeNotifier
from hornbeamshore.entry.ownership import PartitionOwner
from hornbeamshore.entry.slices import AgentSlices
from hornbeamshore.wire.messages import (
    Heartbeat,
    JobCancel,
    OwnerNotice,
    OwnerTable,
    RosterUpdate,
    Submit,
    TableUpdate,
)

log = PartLogger("entry")


@dataclass(frozen=True, slots=True)
class KnownOwner:
    """Owner of a partition, as announced by that owner."""

    epoch: Epoch
    entry_id: str


class EntryState:
    """Peers, agents, owner table, partition owners and configuration of an entry.

    Parameters
    ----------
    cfg : EntrySettings
        Settings of this process.
    identity : Identity
        Identity that this process presents to its peers.
    replica : ConfigReplica
        Configuration in force.
    metrics : EntryMetrics
        Counters and histograms of this process.
    windows : BurnWindows
        Counts of good and bad answers, from which burn rates are computed.
    clock : callable
        Returns the time in seconds by which owners measure their leases; it includes
        the time for which the host is suspended.
    """

    def __init__(self, cfg, identity, replica, metrics, windows, clock=boot_time_s):
        self.cfg = cfg
        self.identity = identity
        self.entry_id = identity.process_id
        self.replica = replica
        self.metrics = metrics
        self.windows = windows
        self.clock = clock
        self.agents = AgentLinks()
        self.slices = AgentSlices(replica)
        self.peers = None
        self.membership = None
        self.table = OwnerTable()
        self.table_changed = ChangeNotifier()
        self.owners_changed = ChangeNotifier()
        self.config_changed = ChangeNotifier()
        self.in_flight_changed = ChangeNotifier()
        self.leaving = False
        self.owners = {}
        self._known_owners = {}
        self._sent_partitions = {}
        self.in_flight = 0
        replica.subscribe(self._on_config_change)

    def _on_config_change(self, _replica):
        self.config_changed.notify()
        for link in self.agents.all():
            if self._sent_partitions.get(link.agent_id) != self._partition_name(link):
                self.send_table(link)
        if self.peers is not None:
            # Heartbeats carry the revision; peers with an older one pull the new.
            for conn in self.peers.all():
                conn.try_send(self.heartbeat())
        for link in self.agents.all():
            self.slices.send_update(link)

    def heartbeat(self):
        """Return a heartbeat with the revisions that this process has in force."""
        return Heartbeat(
            config_revision=self.replica.revision,
            table_version=self.table.version,
            leaving=self.leaving,
        )

    def deployment(self):
        """Return the configuration in force, or None."""
        return self.replica.current

    def partitions(self):
        """Return the partitions of the services with this home region or none."""
        deployment = self.deployment()
        if deployment is None:
            return ()
        return tuple(
            Partition(name, index)
            for name, service in deployment.services.items()
            if service.home_region in ("", self.cfg.region)
            for index in range(service.partitions)
        )

    def links_of(self, partition):
        """Return the links of the connected agents of a partition."""
        service = self.deployment().services.get(partition.service)
        if service is None:
            return ()
        return self.agents.of_partition(partition, service.partitions)

    # Candidates and owners

    def adopt_table(self, table):
        """Adopt an owner table if it is newer, and send it to all peers and agents."""
        if table.version <= self.table.version:
            return
        self.table = table
        self.table_changed.notify()
        self.notify_owners()
        for conn in self.peers.all():
            conn.try_send(TableUpdate(table))
        for link in self.agents.all():
            self.send_table(link)

    def send_table(self, link):
        """Send an agent the owner table and the name of its partition."""
        name = self._partition_name(link)
        self._sent_partitions[link.agent_id] = name
        link.conn.try_send(TableUpdate(self.table, name))

    def _partition_name(self, link):
        deployment = self.deployment()
        service = deployment.services.get(link.service) if deployment else None
        if service is None:
            return ""
        return str(partition_of_agent(link.agent_id, link.service, service.partitions))

    def notify_owners(self):
        """Wake each partition's ownership task to check its candidates again."""
        for owner in self.owners.values():
            owner.changed.notify()

    def first_candidate(self, partition):
        """Return the id of the entry that should own a partition, or None."""
        for entry_id in tables.candidates(self.table, partition):
            if self._may_own(entry_id):
                return entry_id
        return None

    def next_candidate(self, partition):
        """Return the id of the first candidate other than this entry, or None."""
        for entry_id in tables.candidates(self.table, partition):
            if entry_id != self.entry_id and self._may_own(entry_id):
                return entry_id
        return None

    def _may_own(self, entry_id):
        if entry_id == self.entry_id:
            return not self.leaving
        return self.peers.may_own(entry_id)

    def record_owner_notice(self, notice):
        """Record the owner of a partition, unless a higher epoch is known."""
        partition = Partition.parse(notice.partition)
        epoch = Epoch.unpack(notice.epoch)
        known = self._known_owners.get(partition)
        if known is not None and known.epoch > epoch:
            return
        self._known_owners[partition] = KnownOwner(epoch, notice.entry_id)
        owner = self.owners.get(partition)
        if owner is not None and notice.entry_id != self.entry_id:
            owner.observe_epoch(epoch)
        self.owners_changed.notify()

    def announce_owner(self, notice):
        """Record a notice of this entry and send it to all peers."""
        self.record_owner_notice(notice)
        for conn in self.peers.all():
            conn.try_send(notice)

    def own_rosters(self):
        """Return a roster update for each partition that this entry owns."""
        return [
            RosterUpdate(str(partition), owner.roster)
            for partition, owner in self.owners.items()
            if owner.dispatcher.is_active
        ]

    def own_notices(self):
        """Return an owner notice for each partition that this entry owns."""
        return [
            OwnerNotice(str(partition), owner.epoch.pack(), self.entry_id)
            for partition, owner in self.owners.items()
            if owner.dispatcher.is_active
        ]

    def owner_of(self, partition):
        """Return the `KnownOwner` of a partition, or None while there is none."""
        known = self._known_owners.get(partition)
        return known if known is not None and known.entry_id else None

    # Calls to the owner

    def serve_owner_call(self, partition, body, reply):
        """Pass a submission, query or cancellation to the owner in this process.

        If this entry is not the active owner, `reply` gets `NOT_OWNER`.
        """
        owner = self.owners.get(partition)
        key = body.request.key if isinstance(body, Submit) else body.key
        if owner is None or not owner.is_active:
            reply(JobAnswer.refused(key, refuse(ResultCode.NOT_OWNER)))
        elif isinstance(body, Submit):
            owner.submit(body.request, reply)
        elif isinstance(body, JobCancel):
            owner.dispatcher.cancel(key, reply)
        else:
            owner.dispatcher.query(key, reply, wait=body.wait)

    def partition_of_key(self, key):
        """Return the partition of a key, or None for an unknown service."""
        deployment = self.deployment()
        service = deployment.services.get(key.service) if deployment else None
        return partition_of(key, service.partitions) if service else None

    # Draining

    @contextlib.contextmanager
    def submission_in_flight(self):
        """Count a submission that must be answered before this entry shuts down."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            self.in_flight_changed.notify()

    async def wait_idle(self):
        """Return once no submission is in flight."""
        await self.in_flight_changed.wait_until(lambda: not self.in_flight)

    def status(self):
        """Return the report for operators as plain values."""
        return reporting.status_report(self)

    async def run_owners(self, nursery):
        """Run one ownership task for each partition in force, until cancelled."""
        while True:
            wanted = set(self.partitions())
            for partition in wanted - set(self.owners):
                self.owners[partition] = PartitionOwner(partition, self)
                nursery.start_soon(self.owners[partition].run)
            for partition in set(self.owners) - wanted:
                self.owners.pop(partition).resign()
            for owner in self.owners.values():
                owner.dispatcher.configure(self.deployment())
            await self.config_changed.wait()
