"""Settings of the agent daemon."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from hornbeamshore.base.settings import (
    ByteSize,
    Duration,
    SettingsError,
    convert,
    load_yaml,
)
from hornbeamshore.wire.connection import WireSettings

MIN_SECRET_BYTES = 16

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Address = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.\[\]:_-]+:[0-9]{1,5}$")]
Count = Annotated[int, Meta(ge=1, le=1024)]


@dataclass(frozen=True)
class AgentSettings:
    """Settings of one agent.

    Attributes
    ----------
    deployment, agent_id, data_centre, rack, service : str
        Names of this agent and its place.
    target : str
        ``host:port`` of the target beside this agent.
    entries : tuple of str
        ``host:port`` of the entries to start from; the owner table names the rest.
    secret_file : str
        File with the deployment's secret.
    base_path : str
        Put in front of the path of each task.
    labels : tuple of str
        What the target offers, for the rules of placement.
    slots : int
        Tasks that the target runs at a time.
    connections : int
        Connections that the target takes.
    max_entry_connections : int
        Entries that this agent stays connected to.
    max_result_size : ByteSize
        Bound of the body of a response.
    connect_timeout : Duration
        Time to open a connection to the target.
    retention : Duration
        Time that a start record is kept after its end.
    drain_timeout : Duration
        Time that running tasks have to end on a planned stop. The deadline of a
        task is at most 60 s, so the default cuts off none.
    leave_timeout : Duration
        Time that an owner has to take the start records on a planned stop.
    metrics_address : str
        ``host:port`` to serve metrics on; empty for none.
    """

    deployment: Name
    agent_id: Name
    data_centre: Name
    rack: Name
    service: Name
    target: Address
    entries: Annotated[tuple[Address, ...], Meta(min_length=1)]
    secret_file: str
    base_path: Annotated[str, Meta(pattern=r"^(/[^\s?#]*[^/\s?#])?$")] = ""
    labels: tuple[Name, ...] = ()
    slots: Count = 8
    connections: Count = 64
    max_entry_connections: Count = 8
    max_result_size: ByteSize = ByteSize(1024 * 1024)
    connect_timeout: Duration = Duration(0.5)
    retention: Duration = Duration(300)
    drain_timeout: Duration = Duration(65)
    leave_timeout: Duration = Duration(5)
    wire: WireSettings = WireSettings()
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    metrics_address: Annotated[str, Meta(pattern=r"^(\S+:[0-9]{1,5})?$")] = ""

    def __post_init__(self):
        if self.slots > self.connections:
            raise ValueError(
                f"slots {self.slots}: at most connections ({self.connections}), since"
                " each slot has a connection of its own"
            )
        times = self.wire
        if not 0 < times.heartbeat_every < times.suspect_after < times.dead_after:
            raise ValueError(
                "wire: expected 0 < heartbeat_every < suspect_after < dead_after"
            )
        for name in ("retention", "connect_timeout", "leave_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} {getattr(self, name)}: expected more than 0")


def load(path):
    """Return the mapping in a settings file, after each field was checked.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field breaks its rule.
    """
    try:
        raw = load_yaml(Path(path).read_text(encoding="utf-8"), path)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    try:
        read_secret(convert(raw, AgentSettings).secret_file)
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return raw


def read_secret(path):
    """Return the deployment's secret.

    Raises
    ------
    SettingsError
        If the file cannot be read or its secret is too short.
    """
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as exc:
        raise SettingsError(f"$.secret_file {path!r}: cannot be read: {exc}") from exc
    if len(secret) < MIN_SECRET_BYTES:
        raise SettingsError(
            f"$.secret_file {path!r}: expected at least {MIN_SECRET_BYTES} bytes"
        )
    return secret
