"""Membership: the other hosts, by what they say of themselves."""

from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from crocusbay_gateway.protocol import KnownHost
from crocusbay_gateway.state import HostStatus

BEAT_SECONDS = 0.25
# Four beats lost in a row; a host that is slow for a moment stays.
LOST_SECONDS = 1.1
# A host that was lost may still hold connections, or be back.
FORGET_SECONDS = 60.0
# Beats go to every host up to this number, and to a random choice of them beyond.
FANOUT = 12


@dataclass(slots=True)
class Sighting:
    """Hold the newest status of a host and when it came."""

    status: HostStatus
    heard_at: float
    is_lost: bool = False


class Membership:
    """Hold the other hosts by name (seconds)."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.by_name: dict[str, Sighting] = {}
        self.contacts_by_name: dict[str, str] = {}

    @property
    def live(self) -> list[HostStatus]:
        """Return the hosts heard lately, those leaving included."""
        return [s.status for s in self.by_name.values() if not s.is_lost]

    @property
    def host_count(self) -> int:
        """Return how many hosts may hold connections, this one included."""
        return 1 + len(self.by_name)

    def take(self, status: HostStatus, now: float) -> bool:
        """Take a host's status; return whether the host is new or back."""
        if status.name == self.name:
            return False
        sighting = self.by_name.get(status.name)
        if sighting and not status.is_newer_than(sighting.status):
            return False
        is_back = sighting is None or sighting.is_lost
        self.by_name[status.name] = Sighting(status, now)
        self.contacts_by_name[status.name] = status.peer_address
        return is_back

    def take_contact(self, known: KnownHost) -> bool:
        """Take a host known by hearsay; return whether it is new."""
        if known.name == self.name or known.name in self.contacts_by_name:
            return False
        self.contacts_by_name[known.name] = known.peer_address
        return True

    def tick(self, now: float) -> list[HostStatus]:
        """Mark silent hosts as lost and forget old ones; return the newly lost."""
        lost = []
        for name, sighting in list(self.by_name.items()):
            silence = now - sighting.heard_at
            if silence > FORGET_SECONDS:
                del self.by_name[name]
                self.contacts_by_name.pop(name, None)
            elif silence > LOST_SECONDS and not sighting.is_lost:
                sighting.is_lost = True
                lost.append(sighting.status)
        return lost

    def known(self) -> tuple[KnownHost, ...]:
        """Return the hosts heard lately, as contacts for others."""
        return tuple(KnownHost(s.name, s.peer_address) for s in self.live)

    def rank(self, own_reaches_store: bool) -> int:
        """Return this host's place: those that reach the store go first.

        The order among them is by a hash, so that it does not follow the data
        centres' names.
        """
        own = (not own_reaches_store, _order(self.name))
        return sum(
            (not status.reaches_store, _order(status.name)) < own
            for status in self.live
            if not status.is_leaving
        )

    def is_store_reached(self, own_reaches_store: bool) -> bool:
        """Return whether any host heard lately reaches the store."""
        return own_reaches_store or any(status.reaches_store for status in self.live)


def _order(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def pick_contacts(
    addresses: list[str], pick: Callable[[list[str], int], list[str]]
) -> list[str]:
    """Return the addresses that one beat goes to."""
    if len(addresses) <= FANOUT:
        return addresses
    return pick(addresses, FANOUT)
