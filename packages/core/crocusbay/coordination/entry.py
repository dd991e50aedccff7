"""Entry: which addresses a caller may use, in order."""

import random
from collections.abc import Iterable

from crocusbay.state import Member

HEADROOM_FLOOR = 0.01


def order_entries(members: Iterable[Member], place: str) -> tuple[str, ...]:
    """Return addresses: the caller's place first, then by chance in share of headroom.

    Drawing by headroom splits a stream of callers in proportion to the free capacity
    of the hosts and keeps each part a Poisson stream (Krysta, Sanders, Vöcking,
    section 1).
    """
    ranked = sorted(
        members,
        key=lambda member: (member.place != place, _draw(member)),
    )
    return tuple(member.caller_address for member in ranked)


def _draw(member: Member) -> float:
    """Return a draw of the exponential distribution; the least wins by its rate."""
    return random.expovariate(max(HEADROOM_FLOOR, member.load.headroom))
