"""Settings of an entry process."""

from dataclasses import dataclass

from hornbeamshore.base.settings import Duration
from hornbeamshore.policy.settings import PolicySettings
from hornbeamshore.store.etcd import EtcdSettings
from hornbeamshore.wire.connection import WireSettings


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Times of partition ownership.

    Attributes
    ----------
    renew_every : Duration
        Time between two renewals of an agent's lease.
    lease_margin : Duration
        Time by which the owner counts a lease shorter than the agent does.
    acquire_timeout : Duration
        Time after which a candidate without a quorum releases its grants.
    clock_margin : Duration
        Bound of the difference between the clocks of callers and entries.
    """

    renew_every: Duration = Duration(0.5)
    lease_margin: Duration = Duration(0.3)
    acquire_timeout: Duration = Duration(3.0)
    clock_margin: Duration = Duration(2.0)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes
    ----------
    deployment, entry_id, data_centre : str
        Names of the deployment, this process and its place.
    http_listen, peer_listen : str
        ``host:port`` for callers, and for agents and other entries.
    peer_address : str
        ``host:port`` at which peers reach `peer_listen`; the bound address if empty.
    secret_file : str
        File with the secret of the deployment.
    store : EtcdSettings
        Endpoints and timeouts of the platform's store.
    seeds : tuple of str
        Peer addresses of other entries, asked while the store is down.
    presence_ttl : Duration
        Time after which the store forgets an entry that stopped renewing.
    drain_timeout : Duration
        Longest time of a graceful shutdown.
    """

    deployment: str
    entry_id: str
    data_centre: str
    http_listen: str
    peer_listen: str
    secret_file: str
    store: EtcdSettings
    seeds: tuple[str, ...] = ()
    peer_address: str = ""
    rack: str = ""
    region: str = ""
    log_level: str = "info"
    presence_ttl: Duration = Duration(10.0)
    drain_timeout: Duration = Duration(30.0)
    wire: WireSettings = WireSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    policy: PolicySettings = PolicySettings()
