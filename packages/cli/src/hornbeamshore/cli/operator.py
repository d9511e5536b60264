"""Operator settings, and collection of reports from entries over the inner protocol."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import trio
from msgspec import Meta

from hornbeamshore.base.clock import new_incarnation, random_id
from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.settings import SettingsError, load_settings, read_secret
from hornbeamshore.base.units import Duration
from hornbeamshore.cli.command import CommandFailed, ExitCode, input_error
from hornbeamshore.entry.settings import Address, Name
from hornbeamshore.store.etcd import EtcdSettings
from hornbeamshore.wire.connection import (
    CallTimeout,
    ConnectionLost,
    MessageHandler,
    WireSettings,
)
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import HandshakeError, Identity
from hornbeamshore.wire.messages import ProcessKind, StatusQuery

STATUS_TOPIC, BURN_TOPIC = "status", "burn"


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the operator commands.

    Attributes
    ----------
    deployment : str
        Name of the deployment.
    entries : tuple of str
        Peer addresses of seed entries; their owner tables give the other entries.
    secret_file : str
        File with the secret of the deployment.
    store : EtcdSettings
        Endpoints and timeouts of the store.
    http : tuple of str
        ``host:port`` of entries or of their load balancer, for ``submit``.
    token_file : str
        File with the token of a team, for ``submit``.
    timeout : Duration
        Maximum time to wait for the report of one entry.
    wire : WireSettings
        Settings of the connections to entries.
    """

    deployment: Name
    entries: Annotated[tuple[Address, ...], Meta(min_length=1)]
    secret_file: str
    store: EtcdSettings
    http: tuple[Address, ...] = ()
    token_file: str = ""
    timeout: Duration = Duration(3.0)
    wire: WireSettings = WireSettings()


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Reports of one entry by topic, and the address that they came from."""

    address: str
    topics: dict[str, dict]

    @property
    def status(self):
        """Report on the topic ``status``."""
        return self.topics[STATUS_TOPIC]


@dataclass(frozen=True, slots=True)
class UnreachableEntry:
    """Entry of the owner table that sent no report."""

    entry_id: str
    address: str
    reason: str


@dataclass(frozen=True, slots=True)
class CollectedReports:
    """Reports of a deployment's entries by entry id, and the entries that sent none."""

    reports: tuple[EntryReport, ...]
    unreached: tuple[UnreachableEntry, ...]


class _DiscardingHandler(MessageHandler):
    """Discards messages that entries send without a request; operators need none."""

    def handle(self, conn, message):
        """Discard a message."""


def load_operator_settings(path):
    """Load an operator's settings file.

    Returns
    -------
    OperatorSettings
        Validated settings.

    Raises
    ------
    CommandFailed
        If the file cannot be read or has faults.
    """
    try:
        return load_settings(path, OperatorSettings)
    except SettingsError as exc:
        raise input_error(str(exc), ResultCode.SETTINGS_INVALID) from exc


def read_token(cfg):
    """Read the token for ``submit``; raise `CommandFailed` if that is not possible."""
    code = ResultCode.SETTINGS_INVALID
    if not cfg.token_file:
        raise input_error("$.token_file: required to submit", code)
    try:
        return Path(cfg.token_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        detail = f"$.token_file {cfg.token_file!r}: cannot be read: {exc}"
        raise input_error(detail, code) from exc


async def collect_reports(cfg, *topics):
    """Query all entries for their reports on ``status`` and further topics.

    Starts from the configured entries and follows the newest owner table until all
    entries in it have been queried.

    Returns
    -------
    CollectedReports
        Reports, and the entries of the owner table that sent none.

    Raises
    ------
    CommandFailed
        If no entry sent a report.
    """
    try:
        secret = read_secret(cfg.secret_file)
    except SettingsError as exc:
        raise input_error(str(exc), ResultCode.SETTINGS_INVALID) from exc
    collector = _ReportCollector(cfg, secret, (STATUS_TOPIC, *topics))
    pending = set(cfg.entries)
    while pending:
        async with trio.open_nursery() as nursery:
            for address in pending:
                nursery.start_soon(collector.query, address)
        table = collector.newest_owner_table()
        pending = {item["address"] for item in table} - collector.queried
    if not collector.reports:
        raise collector.failure()
    return collector.result()


class _ReportCollector:
    """Queries entries concurrently and collects their reports or failures."""

    def __init__(self, cfg, secret, topics):
        self._cfg = cfg
        self._secret = secret
        self._topics = topics
        self._identity = Identity(
            cfg.deployment,
            ProcessKind.OPERATOR,
            f"operator-{random_id(4)}",
            new_incarnation(),
            "",
        )
        self.queried = set()
        self.reports = {}
        self._reasons = {}
        self._rejected = False

    async def query(self, address):
        """Query one entry for all topics and store its reports or the failure."""
        self.queried.add(address)
        cfg = self._cfg
        reason = f"{address}: no report in {cfg.timeout.to_text()}"
        with trio.move_on_after(cfg.timeout):
            try:
                async with open_connection(
                    address, self._identity, self._secret, cfg.wire
                ) as conn:
                    reason = await self._query_topics(conn, address)
            except HandshakeError as exc:
                self._rejected, reason = True, str(exc)
            except ConnectionLost as exc:
                reason = str(exc)
        if reason:
            self._reasons[address] = reason

    async def _query_topics(self, conn, address):
        """Store the reports of an entry; return None, or the reason if it sent none."""
        reason, topics = None, {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.run, _DiscardingHandler())
            try:
                for topic in self._topics:
                    reply = await conn.call(StatusQuery(topic), self._cfg.timeout)
                    topics[topic] = json.loads(reply.content)
                self.reports[topics[STATUS_TOPIC]["entry_id"]] = EntryReport(
                    address, topics
                )
            except (ConnectionLost, CallTimeout, AttributeError, KeyError) as exc:
                reason = f"{address}: {exc}"
            nursery.cancel_scope.cancel()
        return reason

    def newest_owner_table(self):
        """Return the entries in the reported owner table with the highest version."""
        newest = max(
            (report.status for report in self.reports.values()),
            key=lambda status: status["table_version"],
            default={"entries": ()},
        )
        return newest["entries"]

    def result(self):
        """Return the reports, and the entries of the owner table that sent none."""
        unreached = [
            UnreachableEntry(
                item["entry_id"],
                item["address"],
                self._reasons.get(
                    item["address"], "another entry answered at this address"
                ),
            )
            for item in self.newest_owner_table()
            if item["entry_id"] not in self.reports
        ]
        reports = tuple(self.reports[name] for name in sorted(self.reports))
        return CollectedReports(reports, tuple(unreached))

    def failure(self):
        """Return the `CommandFailed` to raise if no entry sent a report."""
        detail = "; ".join(sorted(self._reasons.values()))
        if self._rejected:
            return input_error(detail, ResultCode.PEER_REJECTED)
        refusal = refuse(ResultCode.ENTRY_UNREACHABLE, detail)
        return CommandFailed(refusal, ExitCode.UNREACHABLE)
