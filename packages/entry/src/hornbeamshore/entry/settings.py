"""Settings of an entry process."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from hornbeamshore.base.settings import Duration
from hornbeamshore.policy.settings import PolicySettings
from hornbeamshore.store.etcd import EtcdSettings
from hornbeamshore.wire.connection import WireSettings

# The settings of agents use the same patterns.
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Address = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.\[\]:_-]+:[0-9]{1,5}$")]
LogLevel = Annotated[str, Meta(pattern="^(debug|info|warning|error)$")]


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Intervals, timeouts and margins of partition ownership.

    Attributes
    ----------
    renew_every : Duration
        Time between two renewals of an agent's lease.
    lease_margin : Duration
        Time by which a lease expires earlier at the owner than at the agent.
    acquire_timeout : Duration
        Time after which a candidate without a quorum releases its grants.
    clock_margin : Duration
        Largest difference between the clocks of callers and entries.
    """

    # Just below `heartbeat_every`: with the same 0.5 s, a heartbeat is sent in addition
    # to each renewal and each reply, which doubles the idle traffic of an agent.
    renew_every: Duration = Duration(0.45)
    lease_margin: Duration = Duration(0.3)
    acquire_timeout: Duration = Duration(3.0)
    clock_margin: Duration = Duration(2.0)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes
    ----------
    deployment, entry_id, data_centre : str
        Names of the deployment, of this process and of its data centre.
    http_listen, peer_listen : str
        ``host:port`` to listen on for callers, and for agents and other entries.
    peer_address : str
        ``host:port`` at which peers reach `peer_listen`; the bound address if empty.
    secret_file : str
        File with the secret of the deployment.
    store : EtcdSettings
        Endpoints and timeouts of the store.
    seeds : tuple of str
        Peer addresses of other entries, used also while the store is unreachable.
    presence_ttl : Duration
        Time after which the store removes an entry that stopped renewing.
    drain_timeout : Duration
        Time limit of a graceful shutdown.
    """

    deployment: Name
    entry_id: Name
    data_centre: Name
    http_listen: Address
    peer_listen: Address
    secret_file: str
    store: EtcdSettings
    seeds: tuple[Address, ...] = ()
    peer_address: str = ""
    rack: str = ""
    region: str = ""
    log_level: LogLevel = "info"
    presence_ttl: Duration = Duration(10.0)
    drain_timeout: Duration = Duration(30.0)
    wire: WireSettings = WireSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    policy: PolicySettings = PolicySettings()
