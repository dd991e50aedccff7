"""Peering: heartbeats, and objects handed from host to host."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio
import msgspec

from crocusbay.coordination.context import Context
from crocusbay.coordination.membership import HEARTBEAT_SECONDS, Membership
from crocusbay.coordination.objects import ObjectCache
from crocusbay.coordination.quarantine import Quarantine
from crocusbay.protocol.peer import (
    CarriedObject,
    GiveObjects,
    Heartbeat,
    PeerMessage,
    WantObjects,
)
from crocusbay.protocol.platform import StoredObject
from crocusbay.state import EventKind, Load, Member
from crocusbay.transport import PeerListener, PeerSender

BEATS_PER_HEARSAY = 10
MAX_GIVEN_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PeeringSetup:
    """Name the addresses that a host binds and those it asks first."""

    caller_address: str
    peer_address: str
    seeds: tuple[str, ...]


class Peering:
    """Exchange heartbeats and objects with every other host."""

    def __init__(
        self,
        setup: PeeringSetup,
        context: Context,
        membership: Membership,
        cache: ObjectCache,
        quarantine: Quarantine,
        load: Callable[[], Load],
    ) -> None:
        self.is_leaving = False
        self._context = context
        self._membership = membership
        self._cache = cache
        self._quarantine = quarantine
        self._load = load
        quarantine.subscribe(self.send_heartbeats)
        self._seeds = setup.seeds
        self._listener = PeerListener(
            setup.peer_address, self._take, self._count_malformed
        )
        self._senders_by_address: dict[str, PeerSender] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._beat = 0
        self._self = Member(
            context.host,
            context.place,
            setup.caller_address,
            self._listener.address,
            incarnation=time.time_ns(),
        )

    @property
    def address(self) -> str:
        """Return the address that peers dial."""
        return self._listener.address

    @property
    def itself(self) -> Member:
        """Return this host's own description as of now."""
        return replace(
            self._self,
            beat=self._beat,
            is_leaving=self.is_leaving,
            revision=self._cache.revision,
            load=self._load(),
        )

    async def run(self) -> None:
        """Send heartbeats and receive messages until closed."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._listener.run)
            try:
                async for _ in self._context.timers.every(
                    HEARTBEAT_SECONDS, jitter=0.1
                ):
                    self._mark_lost()
                    self._drop_senders()
                    self.send_heartbeats()
            finally:
                self._close()

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every host known, at once."""
        beat = self._heartbeat(names_others=self._beat % BEATS_PER_HEARSAY == 0)
        for address in self._addresses():
            self._send(address, beat)

    def _addresses(self) -> set[str]:
        known = {s.member.peer_address for s in self._membership.by_name.values()}
        listed = {host.peer_address for host in self._membership.listed.values()}
        return (known | listed | set(self._seeds)) - {self.address}

    def _send(self, address: str, message: PeerMessage) -> None:
        sender = self._senders_by_address.get(address)
        if sender is None:
            sender = PeerSender(address)
            self._senders_by_address[address] = sender
            self._tasks.start_soon(sender.run)
        self._context.metrics.peer_bytes.inc(sender.send(message))

    def _drop_senders(self) -> None:
        """Close the connections to hosts that are gone."""
        for address in self._senders_by_address.keys() - self._addresses():
            self._senders_by_address.pop(address).close()

    def _close(self) -> None:
        self._listener.close()
        for sender in self._senders_by_address.values():
            sender.close()

    def _mark_lost(self) -> None:
        for member in self._membership.tick():
            self._context.timeline.record(EventKind.MEMBER_LOST, detail=member.name)
        self._context.metrics.members.set(len(self._membership.live))

    def _count_malformed(self, fault: str) -> None:
        self._context.metrics.bad_messages.inc()

    def _take(self, message: PeerMessage) -> None:
        self._context.clock.observe(message.stamp)
        self._see(message.sender)
        match message:
            case Heartbeat():
                self._take_heartbeat(message)
            case WantObjects(sender=sender, after=after):
                self._give(sender, after)
            case GiveObjects(revision=revision, objects=objects):
                self._cache.offer(map(_unpack, objects), revision)

    def _see(self, member: Member) -> None:
        if self._membership.take(member):
            self._context.timeline.record(EventKind.MEMBER_JOINED, detail=member.name)
            self._send(member.peer_address, self._heartbeat())

    def _heartbeat(self, *, names_others: bool = True) -> Heartbeat:
        self._beat += 1
        return Heartbeat(
            self.itself,
            self._context.clock.now(),
            tuple(self._membership.live) if names_others else (),
            self._quarantine.shared(),
        )

    def _take_heartbeat(self, beat: Heartbeat) -> None:
        for strike in beat.strikes:
            self._quarantine.strike(strike)
        for member in beat.members:
            if member.name not in self._membership.by_name:
                self._greet(member)
        if beat.sender.revision > self._cache.revision:
            want = WantObjects(
                self.itself, self._context.clock.now(), self._cache.revision
            )
            self._send(beat.sender.peer_address, want)

    def _greet(self, member: Member) -> None:
        """Make a host known by hearsay hear of this one, so that it answers."""
        if member.name != self._context.host:
            self._send(member.peer_address, self._heartbeat())

    def _give(self, sender: Member, after: int) -> None:
        """Hand over the objects in order of version, as many as one message holds."""
        given = []
        size = 0
        reached = self._cache.revision
        for stored in sorted(
            self._cache.changed_after(after), key=lambda each: each.version
        ):
            carried = CarriedObject(stored.key, stored.version, bytes(stored.value))
            size += len(carried.value)
            if given and size > MAX_GIVEN_BYTES:
                reached = given[-1].version
                break
            given.append(carried)
        give = GiveObjects(
            self.itself, self._context.clock.now(), reached, tuple(given)
        )
        self._send(sender.peer_address, give)


def _unpack(carried: CarriedObject) -> StoredObject:
    return StoredObject(carried.key, carried.version, msgspec.Raw(carried.value))
