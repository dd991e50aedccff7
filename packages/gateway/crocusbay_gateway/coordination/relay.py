"""Policies for relays: hosts that merge parts from their own data centre for others.

When a third of the shards of each request have no server in the host's data centre,
each part would be transferred separately, most of it records that the merged reply
drops. A host in the servers' data centre merges the parts before the transfer.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

from crocusbay_gateway.state import HostStatus

# Fewer parts are transferred about as cheaply without merging.
MIN_RELAYED_PARTS = 2
# With fewer records requested, parts are hardly longer than their headers.
MIN_RELAYED_TOP_K = 10
# Even a single hedge or retry is relayed, as the relay is already connected to its
# servers.
MIN_RELAYED_EXTRAS = 1
# Relays per data centre that a host uses, so that its number of connections does not
# grow with the number of hosts.
RELAYS_PER_DATA_CENTRE = 3
# Hosts slower than the fastest by more than this factor are not used as relays.
MAX_SLOWDOWN = 1.5
# Round trip to another data centre, including processing by both hosts.
ROUND_TRIP_SECONDS = 0.012
# Grace period for a response after the round trip; relays also send empty responses.
RESPONSE_GRACE_SECONDS = 0.1
# One lost packet delays one response; a failed host delays all of them.
MAX_CONSECUTIVE_TIMEOUTS = 3
# Connections per relay: a host's concurrent queries at the maximum number of callers.
MAX_CONNECTIONS_PER_RELAY = 8
# Twice the time without heartbeats after which a host counts as lost.
BACKOFF_SECONDS = 2.0

T = TypeVar("T")


def flush_delay(median: float, hedge_delay: float) -> float:
    """Return the delay after which a relay sends the parts it has (seconds).

    These parts then arrive before the missing ones are considered late.

    >>> flush_delay(0.01, 0.04)
    0.016
    """
    return max(median, hedge_delay - 2 * ROUND_TRIP_SECONDS)


def choose_relays(
    own_name: str, data_centre: str, hosts: Iterable[HostStatus]
) -> list[HostStatus]:
    """Return the relays of a data centre; a hash spreads hosts over different ones."""
    candidates = [
        host
        for host in hosts
        if host.data_centre == data_centre
        and host.is_ready
        and not host.is_leaving
        and not host.is_cut_off
    ]
    fastest = min((host.gather_time for host in candidates), default=0.0)
    fast = [host for host in candidates if host.gather_time <= MAX_SLOWDOWN * fastest]
    fast.sort(
        key=lambda host: xxhash.xxh3_64_intdigest(f"{own_name} {host.name}".encode())
    )
    return fast[:RELAYS_PER_DATA_CENTRE]


def group_by_data_centre(
    items: Iterable[tuple[str, T]], min_size: int
) -> dict[str, list[T]]:
    """Group items by data centre, dropping groups smaller than `min_size`.

    >>> group_by_data_centre([("a", 1), ("b", 2), ("a", 3)], min_size=2)
    {'a': [1, 3]}
    """
    grouped: dict[str, list[T]] = {}
    for data_centre, item in items:
        grouped.setdefault(data_centre, []).append(item)
    return {
        data_centre: group
        for data_centre, group in grouped.items()
        if len(group) >= min_size
    }
