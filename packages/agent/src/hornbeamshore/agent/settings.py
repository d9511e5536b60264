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
    read_secret,
)
from hornbeamshore.wire.connection import WireSettings

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Address = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.\[\]:_-]+:[0-9]{1,5}$")]
Count = Annotated[int, Meta(ge=1, le=1024)]


@dataclass(frozen=True)
class AgentSettings:
    """Settings of one agent.

    Attributes
    ----------
    deployment, agent_id, data_centre, rack, service : str
        Identity and location of this agent, and the service it belongs to.
    target : str
        ``host:port`` of the target beside this agent.
    entries : tuple of str
        ``host:port`` of the initial entries; the owner table lists the others.
    secret_file : str
        Path of the file with the deployment's secret.
    base_path : str
        Prefix of the path of each request to the target.
    labels : tuple of str
        Capabilities of the target, matched by placement rules.
    slots : int
        Maximum number of tasks that run concurrently on the target.
    connections : int
        Maximum number of connections that the target accepts.
    max_entry_connections : int
        Maximum number of entries that this agent stays connected to.
    max_result_size : ByteSize
        Maximum size of a response body.
    connect_timeout : Duration
        Timeout for opening a connection to the target.
    retention : Duration
        Time that a start record is kept after its last change; used until a
        configuration revision sets another.
    drain_timeout : Duration
        Time that running tasks have to complete during a graceful shutdown. A task
        runs for at most 60 s, so the default interrupts none.
    leave_timeout : Duration
        Time limit for the transfer of the start records to the owner during a
        graceful shutdown.
    wire : WireSettings
        Settings of the connections to entries.
    log_level : str
        Minimum level of the lines that are logged.
    metrics_address : str
        ``host:port`` to serve metrics on; empty to disable them.
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
                f"slots {self.slots}: at most connections ({self.connections})"
                " expected, since each slot uses a connection of its own"
            )
        wire = self.wire
        if not 0 < wire.heartbeat_every < wire.suspect_after < wire.dead_after:
            raise ValueError(
                "wire: expected 0 < heartbeat_every < suspect_after < dead_after"
            )
        for name in ("retention", "connect_timeout", "leave_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(
                    f"{name} {getattr(self, name)}: must be greater than 0"
                )


def load(path):
    """Return the mapping in a settings file after validating each field.

    Raises
    ------
    SettingsError
        If the file or the secret cannot be read, or a field is invalid.
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
