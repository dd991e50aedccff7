"""Entry: the host addresses that a caller should try, in order."""

import random
from collections.abc import Iterable

from crocusbay.state import Member

MIN_HEADROOM = 0.01


def rank_entry_addresses(members: Iterable[Member], place: str) -> tuple[str, ...]:
    """Return addresses: the caller's data centre first, in weighted random order.

    Weighting by headroom splits a stream of callers in proportion to the free capacity
    of the hosts and keeps each part a Poisson stream (Krysta, Sanders, Vöcking,
    section 1).
    """
    ranked = sorted(
        members,
        key=lambda member: (member.place != place, _sort_weight(member)),
    )
    return tuple(member.caller_address for member in ranked)


def _sort_weight(member: Member) -> float:
    """Return an exponential variate; the smallest wins in proportion to its rate."""
    return random.expovariate(max(MIN_HEADROOM, member.load.headroom))
