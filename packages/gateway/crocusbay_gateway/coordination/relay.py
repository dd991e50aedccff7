"""Relays: parts from another data centre, gathered by a host there.

Answers a load in which a third of the shards of each request have no server in the
host's data centre: each part crosses on its own, most of it records that the merged
answer leaves out. A host beside the servers merges them on the way.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

from crocusbay_gateway.state import HostStatus

# Fewer parts cross about as cheaply on their own.
LEAST_RELAYED = 2
# With fewer records for the caller, parts are hardly longer than their headers.
LEAST_TOP = 10
# An extra goes to a relay alone, which has connections to its servers already.
LEAST_EXTRAS = 1
# Hosts of one data centre that a host relays through, so that connections don't grow
# with the hosts.
RELAYS_PER_PLACE = 3
# Hosts that take this much longer for a request than the fastest are no relays.
SLOWER = 1.5
# To another data centre and back, with what two hosts take to pass messages on.
ROUND_SECONDS = 0.012
# Beyond the round an answer is overdue: a host answers in time also with no parts.
OVERDUE_SECONDS = 0.1
# A packet that is lost makes one answer overdue; a host that is gone, all of them.
MAX_OVERDUE = 3
# To one relay: as many queries as a host has under way at once with most callers.
MAX_CONNECTIONS = 8
# Twice the beats after which a host counts as lost.
BACK_OFF_SECONDS = 2.0

T = TypeVar("T")


def flush_time(usual: float, late_after: float) -> float:
    """Return when a relay answers with what is in (seconds).

    What it has by then arrives before parts that are still missing count as late.

    >>> flush_time(0.01, 0.04)
    0.016
    """
    return max(usual, late_after - 2 * ROUND_SECONDS)


def choose_relays(
    own_name: str, place: str, hosts: Iterable[HostStatus]
) -> list[HostStatus]:
    """Return the hosts of a data centre to relay through, different for each host."""
    there = [
        host
        for host in hosts
        if host.place == place and host.is_ready and not host.is_leaving
    ]
    fastest = min((host.gather_time for host in there), default=0.0)
    fast = [host for host in there if host.gather_time <= SLOWER * fastest]
    fast.sort(
        key=lambda host: xxhash.xxh3_64_intdigest(f"{own_name} {host.name}".encode())
    )
    return fast[:RELAYS_PER_PLACE]


def group_by_place(sends: Iterable[tuple[str, T]], least: int) -> dict[str, list[T]]:
    """Return the sends of each data centre with enough of them for a relay.

    >>> group_by_place([("a", 1), ("b", 2), ("a", 3)], least=2)
    {'a': [1, 3]}
    """
    grouped: dict[str, list[T]] = {}
    for place, send in sends:
        grouped.setdefault(place, []).append(send)
    return {place: group for place, group in grouped.items() if len(group) >= least}
