"""Settings of a gateway process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Define the limits that the deployment guarantees (seconds, ratios).

    Hedges and retries are extra attempts, beyond the first one of each sub-request.
    Those sent to a service by all hosts together in any `retry_budget_window` are
    limited to `retry_budget_burst` plus `retry_budget_ratio` times the first attempts.
    `entry_lifetime` limits how long callers cache the addresses of hosts. The store
    drops the entry of a server that has not written it for `server_lease`.
    """

    drain_time: float = 3.0
    shutdown_timeout: float = 6.0
    configuration_apply_time: float = 3.0
    retry_budget_ratio: float = 0.2
    retry_budget_burst: float = 50.0
    retry_budget_window: float = 10.0
    entry_lifetime: float = 5.0
    server_lease: float = 3.6


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Define the identity, addresses and resource limits of a gateway process.

    `entry_address` serves callers' requests for host addresses, and `readiness_address`
    the readiness check. `cores` is the CPU time that the process may use, in cores, and
    may be below 1.
    """

    name: str
    data_centre: str
    region: str
    ip: str
    caller_address: str
    readiness_address: str
    entry_address: str
    peer_port: int
    metrics_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    cores: float
    link_mbps: float
    bounds: Bounds
    # A process that uses more is killed by the platform.
    memory_bytes: int = 300_000_000
