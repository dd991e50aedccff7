"""Settings of one gateway process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold what the deployment promises (seconds, ratios).

    `extra_ratio` and `extra_burst` bound what a service gets beyond one sub-request a
    request, over all hosts, in any `extra_window`.
    """

    drain_time: float = 3.0
    stop_time: float = 6.0
    apply_time: float = 3.0
    extra_ratio: float = 0.2
    extra_burst: float = 50.0
    extra_window: float = 10.0
    entry_lifetime: float = 5.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold what one process is told about itself and its surroundings.

    `cores` is the share of a processor core that the process may use.
    """

    name: str
    place: str
    region: str
    ip: str
    caller_address: str
    ready_address: str
    entry_address: str
    peer_port: int
    metrics_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    cores: float
    link_mbps: float
    bounds: Bounds
