"""Membership: the other hosts, by what they say of themselves.

Hosts of one data centre beat to each other in turn. Between data centres only two
hosts of each do, so that the bytes there do not grow with the square of the hosts.
"""

import random
from dataclasses import dataclass

import xxhash

from crocusbay_gateway.protocol import KnownHost
from crocusbay_gateway.state import HostStatus

BEAT_SECONDS = 0.25
# Up to so many other hosts, each beat goes to all of them.
MAX_FULL_MESH = 11
# Beyond, it goes to so many of the own data centre, in turn.
LOCAL_FANOUT = 9
# Hosts of a data centre that beat to those of the others.
BRIDGES = 2
# Beats lost in a row after which a host counts as lost.
LOST_BEATS = 4
LOST_SLACK_SECONDS = 0.1
# A host that was lost may still hold connections, or be back.
FORGET_SECONDS = 60.0
# Contacts that one beat hands on, so that it fits a datagram.
MAX_KNOWN = 16


@dataclass(slots=True)
class Sighting:
    """Hold the newest status of a host and when it came."""

    status: HostStatus
    heard_at: float
    is_lost: bool = False

    def is_replaced_by(self, status: HostStatus) -> bool:
        """Return whether a status is newer than this one.

        A host that was lost may have started anew after its clock was set back.
        """
        is_other_start = status.incarnation != self.status.incarnation
        return (self.is_lost and is_other_start) or status.is_newer_than(self.status)


class Membership:
    """Hold the other hosts by name (seconds)."""

    def __init__(self, name: str, place: str, incarnation: int) -> None:
        self.name = name
        self.place = place
        self.incarnation = incarnation
        self.by_name: dict[str, Sighting] = {}
        self.contacts_by_name: dict[str, KnownHost] = {}
        self._hosts_by_place: dict[str, int] = {}
        self._forgotten: set[str] = set()
        self._turns: list[str] = []

    @property
    def live(self) -> list[HostStatus]:
        """Return the hosts heard lately, those leaving included."""
        return [s.status for s in self.by_name.values() if not s.is_lost]

    @property
    def hosts_by_place(self) -> dict[str, int]:
        """Return how many hosts each data centre has, those lost lately included."""
        own = sum(s.status.place == self.place for s in self.by_name.values())
        return {**self._hosts_by_place, self.place: 1 + own}

    @property
    def host_count(self) -> int:
        """Return how many hosts may hold connections, this one included."""
        return sum(self.hosts_by_place.values())

    @property
    def is_bridge(self) -> bool:
        """Return whether this host beats to other data centres."""
        own = _order(self.name)
        before = sum(
            _order(status.name) < own
            for status in self.live
            if status.place == self.place and not status.is_leaving
        )
        return before < BRIDGES

    @property
    def lost_after(self) -> float:
        """Return the silence after which a host counts as lost."""
        rounds = 1.0
        if len(self.contacts_by_name) > MAX_FULL_MESH:
            rounds = max(1.0, len(self._local_contacts()) / LOCAL_FANOUT)
        return LOST_BEATS * rounds * BEAT_SECONDS + LOST_SLACK_SECONDS

    def take(self, status: HostStatus, now: float) -> bool:
        """Take a host's status; return whether the host is new or back."""
        if status.name == self.name:
            return False
        sighting = self.by_name.get(status.name)
        if sighting and not sighting.is_replaced_by(status):
            return False
        is_back = sighting is None or sighting.is_lost
        self.by_name[status.name] = Sighting(status, now)
        self.contacts_by_name[status.name] = KnownHost(
            status.name, status.peer_address, status.place
        )
        return is_back

    def take_contact(self, known: KnownHost) -> None:
        """Take a host known by hearsay."""
        if known.name != self.name:
            self.contacts_by_name.setdefault(known.name, known)

    def take_counts(self, sender_place: str, hosts_by_place: dict[str, int]) -> None:
        """Take how many hosts there are elsewhere: the place itself knows best."""
        for place, hosts in hosts_by_place.items():
            if place == self.place:
                continue
            if place == sender_place or sender_place == self.place:
                self._hosts_by_place[place] = hosts

    def tick(self, now: float) -> list[HostStatus]:
        """Mark silent hosts as lost and forget old ones; return the newly lost."""
        lost = []
        lost_after = self.lost_after
        for name, sighting in list(self.by_name.items()):
            silence = now - sighting.heard_at
            if silence > FORGET_SECONDS:
                del self.by_name[name]
                self.contacts_by_name.pop(name, None)
                self._forgotten.add(name)
            elif silence > lost_after and not sighting.is_lost:
                sighting.is_lost = True
                lost.append(sighting.status)
        return lost

    def take_forgotten(self) -> set[str]:
        """Return the hosts forgotten since the last call that are not back."""
        forgotten, self._forgotten = self._forgotten, set()
        return forgotten - self.by_name.keys()

    def addresses(self) -> list[str]:
        """Return where the next beat goes."""
        contacts = self.contacts_by_name
        if len(contacts) <= MAX_FULL_MESH:
            return [known.peer_address for known in contacts.values()]
        chosen = [contacts[name].peer_address for name in self._next_local()]
        if self.is_bridge:
            chosen += self._other_bridges()
        return chosen

    def known(self) -> tuple[KnownHost, ...]:
        """Return some hosts heard lately, as contacts for others."""
        heard = [
            KnownHost(status.name, status.peer_address, status.place)
            for status in self.live
        ]
        return tuple(random.sample(heard, min(MAX_KNOWN, len(heard))))

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

    def _local_contacts(self) -> list[str]:
        return [
            known.name
            for known in self.contacts_by_name.values()
            if known.place == self.place
        ]

    def _next_local(self) -> list[str]:
        """Return the hosts of the own data centre whose turn it is."""
        chosen: list[str] = []
        local = set(self._local_contacts())
        while len(chosen) < min(LOCAL_FANOUT, len(local)):
            if not self._turns:
                self._turns = random.sample(sorted(local), len(local))
            name = self._turns.pop()
            if name in local and name not in chosen:
                chosen.append(name)
        return chosen

    def _other_bridges(self) -> list[str]:
        """Return hosts of each other data centre, those first that were heard."""
        heard = {status.name for status in self.live}
        by_place: dict[str, list[KnownHost]] = {}
        for known in self.contacts_by_name.values():
            if known.place != self.place:
                by_place.setdefault(known.place, []).append(known)
        chosen: list[str] = []
        for hosts in by_place.values():
            hosts.sort(key=lambda known: (known.name not in heard, _order(known.name)))
            chosen += [known.peer_address for known in hosts[:BRIDGES]]
        return chosen


def _order(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
