"""Membership: the other hosts, as reported by their own heartbeats.

Within a data centre, hosts send heartbeats to each other in random rotation. Between
data centres, only two hosts of each do, so that traffic there does not grow with the
square of the number of hosts.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from crocusbay_gateway.protocol import KnownHost
from crocusbay_gateway.state import HostStatus

HEARTBEAT_INTERVAL_SECONDS = 0.25
# With up to this many other hosts, each heartbeat is sent to all of them.
MAX_FULL_MESH = 11
# With more hosts, each heartbeat is sent to this many of the same data centre, in
# rotation.
LOCAL_FANOUT = 9
# Hosts of each data centre that exchange heartbeats with other data centres.
BRIDGES_PER_DATA_CENTRE = 2
# Consecutive heartbeats missed after which a host counts as lost.
MISSED_HEARTBEATS = 4
LOSS_MARGIN_SECONDS = 0.1
# A lost host is remembered this long: it may still hold connections, or return.
LOST_HOST_RETENTION_SECONDS = 60.0
# Limits are divided by at least this number of hosts, since a host that has just
# started does not know the others yet.
MIN_HOST_COUNT = 3
# Fraction of an even share that a host without load has.
MIN_LOAD_SHARE_FRACTION = 0.1
# With fewer hosts that reach servers, a data centre needs the help of others.
MIN_LOCAL_HOSTS = 2
# Hosts of other data centres named in one heartbeat, so that it fits into a datagram.
MAX_SHARED_REMOTE_HOSTS = 4
# A host that no heartbeat has named for this time no longer counts.
REMOTE_RETENTION_SECONDS = 2.0
# Contacts in one heartbeat, limited so that it fits into one datagram.
MAX_SHARED_CONTACTS = 16


@dataclass(slots=True)
class MemberRecord:
    """Store the newest status of a host and when it was received."""

    status: HostStatus
    last_heartbeat_at: float
    is_lost: bool = False

    def is_replaced_by(self, status: HostStatus) -> bool:
        """Return whether a status replaces this one.

        A lost host whose clock was set back may restart with a lower incarnation.
        """
        is_restarted = status.incarnation != self.status.incarnation
        return (self.is_lost and is_restarted) or status.is_newer_than(self.status)


class Membership:
    """Track the other hosts by name; times are monotonic, in seconds."""

    def __init__(self, name: str, data_centre: str, incarnation: int) -> None:
        self.name = name
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.by_name: dict[str, MemberRecord] = {}
        self.contacts_by_name: dict[str, KnownHost] = {}
        # Hosts of other data centres that hosts of this one have named.
        self._remote_by_name: dict[str, MemberRecord] = {}
        # Requests per second that this host receives from callers.
        self.own_load = 0.0
        self._host_counts_by_data_centre: dict[str, int] = {}
        self._loads_by_data_centre: dict[str, float] = {}
        self._deleted_names: set[str] = set()
        self._rotation: list[str] = []

    @property
    def live_hosts(self) -> list[HostStatus]:
        """Return the hosts that are not lost, including those that are leaving."""
        return [record.status for record in self.by_name.values() if not record.is_lost]

    @property
    def known_hosts(self) -> list[HostStatus]:
        """Return the hosts that are not lost, and those that other hosts have named."""
        live = self.live_hosts
        live_names = {status.name for status in live}
        return live + [
            record.status
            for name, record in self._remote_by_name.items()
            if name not in live_names
        ]

    @property
    def host_counts_by_data_centre(self) -> dict[str, int]:
        """Return the number of hosts per data centre, including recently lost ones."""
        others = sum(
            record.status.data_centre == self.data_centre
            for record in self.by_name.values()
        )
        return {**self._host_counts_by_data_centre, self.data_centre: 1 + others}

    @property
    def host_count(self) -> int:
        """Return the number of hosts that may hold connections, including this one.

        A host that has heard from no other one since its start counts its contacts.
        """
        count = sum(self.host_counts_by_data_centre.values())
        return count if self.by_name else max(count, 1 + len(self.contacts_by_name))

    @property
    def data_centre_count(self) -> int:
        """Return the number of known data centres, including this host's own one."""
        places = {contact.data_centre for contact in self.contacts_by_name.values()}
        return max(1, len(places.union(self.host_counts_by_data_centre) - {""}))

    @property
    def loads_by_data_centre(self) -> dict[str, float]:
        """Return the load of the hosts per data centre, including recently lost ones.

        The unit is requests per second. A data centre that has not reported its load is
        taken to have as much as this one.
        """
        local = self.own_load + sum(
            record.status.load
            for record in self.by_name.values()
            if record.status.data_centre == self.data_centre
        )
        counts = self.host_counts_by_data_centre
        return {
            **dict.fromkeys(counts, local),
            **self._loads_by_data_centre,
            self.data_centre: local,
        }

    @property
    def load_share(self) -> float:
        """Return this host's share of the load of all hosts, with a minimum."""
        total = sum(self.loads_by_data_centre.values())
        even_share = 1.0 / max(MIN_HOST_COUNT, self.host_count)
        share = self.own_load / total if total and self.by_name else even_share
        return max(MIN_LOAD_SHARE_FRACTION * even_share, share)

    @property
    def local_load_share(self) -> float:
        """Return this host's share of the load of its data centre.

        Recently lost hosts count, since they may be partitioned from this one only.
        """
        if not self.by_name:
            return 1.0 / max(MIN_HOST_COUNT, self.host_count)
        total = self.loads_by_data_centre[self.data_centre]
        return self.own_load / total if total else 0.0

    @property
    def is_bridge(self) -> bool:
        """Return whether this host sends heartbeats to other data centres."""
        own_hash = _name_hash(self.name)
        preceding = sum(
            _name_hash(status.name) < own_hash
            for status in self.live_hosts
            if status.data_centre == self.data_centre and not status.is_leaving
        )
        return preceding < BRIDGES_PER_DATA_CENTRE

    @property
    def loss_timeout(self) -> float:
        """Return the time without a heartbeat after which a host is lost (seconds)."""
        rounds = 1.0
        if len(self.contacts_by_name) > MAX_FULL_MESH:
            rounds = max(1.0, len(self._local_contact_names()) / LOCAL_FANOUT)
        return (
            MISSED_HEARTBEATS * rounds * HEARTBEAT_INTERVAL_SECONDS
            + LOSS_MARGIN_SECONDS
        )

    def update(self, status: HostStatus, now: float) -> bool:
        """Store a newer host status; return whether it lacks what others know.

        A host does if it is new, was lost, or has restarted before it was missed.
        """
        if status.name == self.name:
            return False
        record = self.by_name.get(status.name)
        if record and not record.is_replaced_by(status):
            return False
        is_new = (
            record is None
            or record.is_lost
            or record.status.incarnation != status.incarnation
        )
        self.by_name[status.name] = MemberRecord(status, now)
        self.contacts_by_name[status.name] = KnownHost(
            status.name, status.peer_address, status.data_centre
        )
        return is_new

    def add_contact(self, contact: KnownHost) -> None:
        """Add a host reported by another one, unless it is already in the list."""
        if contact.name != self.name:
            self.contacts_by_name.setdefault(contact.name, contact)

    def update_data_centres(
        self,
        sender_data_centre: str,
        host_counts: dict[str, int],
        loads: dict[str, float],
    ) -> None:
        """Store the host counts and loads of other data centres.

        Hosts of a data centre know it best. Values are accepted from them and from
        hosts of this data centre, but not from third ones.
        """
        for known, values in (
            (self._host_counts_by_data_centre, host_counts),
            (self._loads_by_data_centre, loads),
        ):
            known.update(
                (data_centre, value)
                for data_centre, value in values.items()
                if data_centre != self.data_centre
                and sender_data_centre in (data_centre, self.data_centre)
            )

    def remote_hosts_to_share(self, *, is_cut_off: bool) -> tuple[HostStatus, ...]:
        """Return hosts elsewhere for hosts of this data centre, if those need them.

        Only bridges know hosts elsewhere, unless there are few hosts.
        """
        if len(self.contacts_by_name) <= MAX_FULL_MESH:
            return ()
        reaching = [status for status in self.live_hosts if not status.is_cut_off]
        local = [each for each in reaching if each.data_centre == self.data_centre]
        if len(local) + (not is_cut_off) >= MIN_LOCAL_HOSTS:
            return ()
        remote = [each for each in reaching if each.data_centre != self.data_centre]
        return tuple(random.sample(remote, min(MAX_SHARED_REMOTE_HOSTS, len(remote))))

    def learn_remote_hosts(
        self, sender_data_centre: str, statuses: tuple[HostStatus, ...], now: float
    ) -> None:
        """Store hosts that a host of this data centre has named."""
        if sender_data_centre == self.data_centre:
            for status in statuses:
                if status.name != self.name:
                    self._remote_by_name[status.name] = MemberRecord(status, now)

    def expire(self, now: float) -> list[HostStatus]:
        """Mark silent hosts as lost and return them; delete those past retention."""
        lost = []
        loss_timeout = self.loss_timeout
        self._remote_by_name = {
            name: record
            for name, record in self._remote_by_name.items()
            if now - record.last_heartbeat_at <= REMOTE_RETENTION_SECONDS
        }
        for name, record in list(self.by_name.items()):
            silence = now - record.last_heartbeat_at
            if silence > LOST_HOST_RETENTION_SECONDS:
                del self.by_name[name]
                self.contacts_by_name.pop(name, None)
                self._deleted_names.add(name)
            elif silence > loss_timeout and not record.is_lost:
                record.is_lost = True
                lost.append(record.status)
        return lost

    def pop_deleted(self) -> set[str]:
        """Return the names of hosts deleted since the last call and not added again."""
        deleted, self._deleted_names = self._deleted_names, set()
        return deleted - self.by_name.keys()

    def forget_again(self, names: Iterable[str]) -> None:
        """Return lost hosts once more from `pop_deleted`, unless they are back."""
        self._deleted_names.update(names)

    def local_targets(self) -> list[str]:
        """Return the addresses that the next heartbeat is sent to.

        With few hosts, these are all of them.
        """
        contacts = self.contacts_by_name
        if len(contacts) <= MAX_FULL_MESH:
            return [contact.peer_address for contact in contacts.values()]
        return [contacts[name].peer_address for name in self._next_local_names()]

    def bridge_targets(self) -> list[str]:
        """Return the addresses in other data centres that a bridge sends to as well."""
        if len(self.contacts_by_name) <= MAX_FULL_MESH or not self.is_bridge:
            return []
        return self._remote_bridge_addresses()

    def remote_addresses(self) -> set[str]:
        """Return the addresses of the known hosts in other data centres."""
        return {
            contact.peer_address
            for contact in self.contacts_by_name.values()
            if contact.data_centre != self.data_centre
        }

    def sample_contacts(self) -> tuple[KnownHost, ...]:
        """Return a random sample of the live hosts, as contacts for other hosts."""
        contacts = [
            KnownHost(status.name, status.peer_address, status.data_centre)
            for status in self.live_hosts
        ]
        return tuple(random.sample(contacts, min(MAX_SHARED_CONTACTS, len(contacts))))

    def polling_rank(self, own_reaches_store: bool) -> int:
        """Return this host's rank for polling the store; 0 polls first.

        Hosts that reach the store come first. Otherwise the order is by a hash, so that
        it does not follow the data centres' names. Hosts that don't notice a restore of
        the store don't count, since others can't rely on their views.
        """
        own_key = (not own_reaches_store, _name_hash(self.name))
        return sum(
            (not status.reaches_store, _name_hash(status.name)) < own_key
            for status in self.live_hosts
            if status.knows_eras and not status.is_leaving
        )

    def is_store_reached(self, own_reaches_store: bool) -> bool:
        """Return whether this host or any live one reaches the store."""
        return own_reaches_store or any(
            status.reaches_store for status in self.live_hosts
        )

    def _local_contact_names(self) -> list[str]:
        return [
            contact.name
            for contact in self.contacts_by_name.values()
            if contact.data_centre == self.data_centre
        ]

    def _next_local_names(self) -> list[str]:
        """Return the names of the hosts of this data centre next in the rotation."""
        chosen: list[str] = []
        local_names = set(self._local_contact_names())
        while len(chosen) < min(LOCAL_FANOUT, len(local_names)):
            if not self._rotation:
                self._rotation = random.sample(sorted(local_names), len(local_names))
            name = self._rotation.pop()
            if name in local_names and name not in chosen:
                chosen.append(name)
        return chosen

    def _remote_bridge_addresses(self) -> list[str]:
        """Return addresses of hosts in each other data centre, live hosts first."""
        live_names = {status.name for status in self.live_hosts}
        contacts_by_data_centre: dict[str, list[KnownHost]] = {}
        for contact in self.contacts_by_name.values():
            if contact.data_centre != self.data_centre:
                contacts_by_data_centre.setdefault(contact.data_centre, []).append(
                    contact
                )
        chosen: list[str] = []
        for contacts in contacts_by_data_centre.values():
            contacts.sort(
                key=lambda contact: (
                    contact.name not in live_names,
                    _name_hash(contact.name),
                )
            )
            chosen += [
                contact.peer_address for contact in contacts[:BRIDGES_PER_DATA_CENTRE]
            ]
        return chosen


def _name_hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
