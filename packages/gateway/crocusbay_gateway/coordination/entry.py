"""Selection of the hosts that a caller is told to send its requests to.

A host in a data centre without servers fetches every part from another data centre, so
callers there are sent to hosts in the same data centre as the servers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# A reply lists at least two hosts where possible, so that callers can fail over.
MIN_HOSTS = 2
MAX_HOSTS = 64
# A data centre serves its own callers if it has at least this ratio of the number
# of servers in the largest one.
MIN_SERVER_RATIO = 0.5
# Cost of one shard's part to the gathering host: processor time on one core, and
# bytes on the wire including headers.
PART_CPU_SECONDS = 0.00025
PART_BYTES = 1_200
TYPICAL_SHARD_COUNT = 100
# Requests queue on hosts above this utilization.
MAX_UTILIZATION = 0.6
# Hosts slower than the fastest by more than this ratio are listed only if the faster
# ones cannot carry the load.
SLOW_HOST_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class EntryCandidate:
    """Describe a host that could be listed in a reply to a caller.

    `load` is in requests per second, `gather_time` in seconds per request. A host that
    `is_cut_off` reaches no server.
    """

    address: str
    data_centre: str
    load: float = 0.0
    gather_time: float = 0.0
    is_ready: bool = True
    is_leaving: bool = False
    is_cut_off: bool = False


def serving_data_centres(server_counts: Mapping[str, int]) -> frozenset[str]:
    """Return the data centres that have enough servers to serve their own callers."""
    max_count = max(server_counts.values(), default=0)
    return frozenset(
        data_centre
        for data_centre, count in server_counts.items()
        if count and count >= MIN_SERVER_RATIO * max_count
    )


def choose_entry_hosts(
    candidates: Iterable[EntryCandidate],
    data_centre: str,
    server_counts: Mapping[str, int],
) -> tuple[str, ...]:
    """Return host addresses for a caller in a data centre; empty if none is ready."""
    hosts = list(candidates)
    serving = serving_data_centres(server_counts)
    ready = [host for host in hosts if host.is_ready and not host.is_leaving]
    reaching = [host for host in ready if not host.is_cut_off]
    near_servers = [host for host in reaching if host.data_centre in serving]
    local = [host for host in near_servers if host.data_centre == data_centre]
    for group in (local, near_servers, reaching, ready):
        if len(group) >= MIN_HOSTS:
            return _addresses_by_load(_fastest_sufficient(group))
    ready_or_leaving = [host for host in hosts if host.is_ready]
    return _addresses_by_load(ready or ready_or_leaving)


def estimate_gather_time(cores: float, link_mbps: float) -> float:
    """Return the time a host itself needs to gather from a hundred shards (seconds).

    >>> round(estimate_gather_time(2.0, 100.0), 4)
    0.0221
    """
    processing = TYPICAL_SHARD_COUNT * PART_CPU_SECONDS / max(0.01, cores)
    transfer = TYPICAL_SHARD_COUNT * PART_BYTES * 8 / (max(0.01, link_mbps) * 1e6)
    return processing + transfer


def _fastest_sufficient(hosts: list[EntryCandidate]) -> list[EntryCandidate]:
    """Return the fastest hosts, as many as needed to carry the total load.

    With fewer hosts, each one observes every server more often and reuses its
    connections.
    """
    ordered = sorted(hosts, key=lambda host: (host.gather_time, host.address))
    load = sum(host.load for host in hosts)
    fastest = ordered[0].gather_time
    chosen: list[EntryCandidate] = []
    capacity = 0.0
    for host in ordered:
        is_fast = host.gather_time <= SLOW_HOST_RATIO * fastest
        if (
            len(chosen) >= MIN_HOSTS
            and not is_fast
            and load <= MAX_UTILIZATION * capacity
        ):
            break
        chosen.append(host)
        capacity += 1.0 / max(1e-6, host.gather_time)
    return chosen


def _addresses_by_load(hosts: list[EntryCandidate]) -> tuple[str, ...]:
    ordered = sorted(hosts, key=lambda host: host.load)
    return tuple(host.address for host in ordered[:MAX_HOSTS])
