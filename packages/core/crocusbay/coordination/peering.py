"""Peering: heartbeats between hosts, and replication of objects among them."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio
import msgspec

from crocusbay.coordination.context import Context
from crocusbay.coordination.membership import HEARTBEAT_INTERVAL_SECONDS, Membership
from crocusbay.coordination.object_cache import ObjectCache
from crocusbay.coordination.quarantine import Quarantine
from crocusbay.protocol.peer import (
    GiveObjects,
    Heartbeat,
    PeerMessage,
    ReplicatedObject,
    WantObjects,
)
from crocusbay.protocol.platform import StoredObject
from crocusbay.state import EventKind, Load, Member
from crocusbay.transport import PeerListener, PeerSender

HEARTBEATS_PER_MEMBER_LIST = 10
MAX_OBJECT_BATCH_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PeeringSetup:
    """Addresses that a host binds, and the seeds that it contacts first."""

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
            setup.peer_address,
            self._handle_message,
            self._count_malformed,
            context.timers.on_error,
        )
        self._senders_by_address: dict[str, PeerSender] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._heartbeat_count = 0
        self._member = Member(
            context.host,
            context.place,
            setup.caller_address,
            self._listener.address,
            incarnation=time.time_ns(),
        )

    @property
    def address(self) -> str:
        """Return the address that peers connect to."""
        return self._listener.address

    @property
    def local_member(self) -> Member:
        """Return the current description of this host."""
        return replace(
            self._member,
            beat=self._heartbeat_count,
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
                    HEARTBEAT_INTERVAL_SECONDS, jitter=0.1
                ):
                    self._maintain_members()
            finally:
                self._close()

    def _maintain_members(self) -> None:
        """Update the members and send heartbeats; an error ends this round only."""
        try:
            self._expire_members()
            self._close_stale_senders()
            self.send_heartbeats()
        except Exception as error:
            self._context.timers.on_error("heartbeats", error)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every known host immediately."""
        heartbeat = self._make_heartbeat(
            includes_members=self._heartbeat_count % HEARTBEATS_PER_MEMBER_LIST == 0
        )
        for address in self._peer_addresses():
            self._send(address, heartbeat)

    def _peer_addresses(self) -> set[str]:
        known = {
            record.member.peer_address for record in self._membership.by_name.values()
        }
        listed = {
            host.peer_address for host in self._membership.platform_hosts.values()
        }
        return (known | listed | set(self._seeds)) - {self.address}

    def _send(self, address: str, message: PeerMessage) -> None:
        sender = self._senders_by_address.get(address)
        if sender is None:
            sender = PeerSender(address)
            self._senders_by_address[address] = sender
            self._tasks.start_soon(sender.run)
        self._context.metrics.peer_bytes.inc(sender.send(message))

    def _close_stale_senders(self) -> None:
        """Close the connections to hosts no longer known."""
        for address in self._senders_by_address.keys() - self._peer_addresses():
            self._senders_by_address.pop(address).close()

    def _close(self) -> None:
        self._listener.close()
        for sender in self._senders_by_address.values():
            sender.close()

    def _expire_members(self) -> None:
        for member in self._membership.expire():
            self._context.timeline.record(EventKind.MEMBER_LOST, detail=member.name)
        self._context.metrics.members.set(len(self._membership.live))

    def _count_malformed(self, error: str) -> None:
        self._context.metrics.bad_messages.inc()

    def _handle_message(self, message: PeerMessage) -> None:
        self._context.clock.observe(message.stamp)
        self._update_member(message.sender)
        match message:
            case Heartbeat():
                self._handle_heartbeat(message)
            case WantObjects(sender=requester, after=after):
                self._send_objects(requester, after)
            case GiveObjects(revision=revision, objects=objects):
                self._cache.merge(map(_to_stored_object, objects), revision)

    def _update_member(self, member: Member) -> None:
        if self._membership.update(member):
            self._context.timeline.record(EventKind.MEMBER_JOINED, detail=member.name)
            self._send(member.peer_address, self._make_heartbeat())

    def _make_heartbeat(self, *, includes_members: bool = True) -> Heartbeat:
        self._heartbeat_count += 1
        return Heartbeat(
            self.local_member,
            self._context.clock.now(),
            tuple(self._membership.live) if includes_members else (),
            self._quarantine.recent_crashes(),
        )

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        for crash in heartbeat.strikes:
            self._quarantine.record_crash(crash)
        for member in heartbeat.members:
            if member.name not in self._membership.by_name:
                self._introduce_to(member)
        if heartbeat.sender.revision > self._cache.revision:
            request = WantObjects(
                self.local_member, self._context.clock.now(), self._cache.revision
            )
            self._send(heartbeat.sender.peer_address, request)

    def _introduce_to(self, member: Member) -> None:
        """Send a heartbeat to a host that a peer reported, so that it replies."""
        if member.name != self._context.host:
            self._send(member.peer_address, self._make_heartbeat())

    def _send_objects(self, requester: Member, after: int) -> None:
        """Send the objects in order of version, as many as one message holds."""
        batch = []
        size = 0
        batch_revision = self._cache.revision
        for stored in sorted(
            self._cache.changed_after(after), key=lambda each: each.version
        ):
            replicated = ReplicatedObject(
                stored.key, stored.version, bytes(stored.value)
            )
            size += len(replicated.value)
            if batch and size > MAX_OBJECT_BATCH_BYTES:
                batch_revision = batch[-1].version
                break
            batch.append(replicated)
        message = GiveObjects(
            self.local_member, self._context.clock.now(), batch_revision, tuple(batch)
        )
        self._send(requester.peer_address, message)


def _to_stored_object(replicated: ReplicatedObject) -> StoredObject:
    return StoredObject(
        replicated.key, replicated.version, msgspec.Raw(replicated.value)
    )
