"""Replication: a few hosts a place watch the platform, the others hear from peers."""

import random

import xxhash

from crocusbay.coordination.context import Context
from crocusbay.coordination.membership import Membership
from crocusbay.coordination.objects import ObjectCache
from crocusbay.coordination.peering import Peering
from crocusbay.protocol.platform import ObjectList
from crocusbay.state import EventKind
from crocusbay.state.keys import REPLICATED_PREFIXES
from crocusbay.transport import PlatformClient

WATCHERS_PER_PLACE = 2
POLL_SECONDS = 20.0
LIST_SECONDS = 5.0
LIST_ALONE_SECONDS = 1.0
RECHECK_SECONDS = 2.0
BACKOFF_FIRST_SECONDS = 0.2
BACKOFF_MAX_SECONDS = 5.0


class Replication:
    """Keep the object cache and the host list up to date from the platform."""

    def __init__(
        self,
        platform: PlatformClient,
        cache: ObjectCache,
        membership: Membership,
        peering: Peering,
        context: Context,
    ) -> None:
        self.is_platform_up = True
        self._platform = platform
        self._cache = cache
        self._membership = membership
        self._peering = peering
        self._context = context
        self._backoff = BACKOFF_FIRST_SECONDS

    @property
    def is_watcher(self) -> bool:
        """Return whether this host is one of those that watch for its place."""
        place = self._context.place
        rivals = [m.name for m in self._membership.serving if m.place == place]
        own_rank = _rank(self._context.host)
        return sum(_rank(name) < own_rank for name in rivals) < WATCHERS_PER_PLACE

    async def run_objects(self) -> None:
        """Watch if chosen, poll seldom if not, until cancelled."""
        await self._poll()
        while True:
            if self.is_watcher:
                await self._watch()
            else:
                await self._wait_as_follower()

    async def run_host_list(self) -> None:
        """Read the platform's host list until cancelled.

        Hosts that do not watch learn of others by their heartbeats.
        """
        while True:
            is_alone = not self._membership.live
            if is_alone or self.is_watcher:
                await self._read_host_list()
            pause = LIST_ALONE_SECONDS if is_alone else LIST_SECONDS
            await self._context.timers.sleep(pause * random.uniform(0.8, 1.2))

    async def _read_host_list(self) -> None:
        hosts = await self._platform.hosts()
        self._count("hosts", hosts.is_ok())
        if hosts.is_ok():
            self._membership.take_list(hosts.ok.hosts)

    async def _wait_as_follower(self) -> None:
        waited = 0.0
        poll_after = POLL_SECONDS * random.uniform(0.8, 1.2)
        while waited < poll_after and not self.is_watcher:
            await self._context.timers.sleep(RECHECK_SECONDS)
            waited += RECHECK_SECONDS
        await self._poll()

    async def _poll(self) -> None:
        listed = await self._platform.list_after(
            REPLICATED_PREFIXES, self._cache.revision
        )
        await self._take("list", listed)

    async def _watch(self) -> None:
        changes = await self._platform.watch(REPLICATED_PREFIXES, self._cache.revision)
        await self._take("watch", changes)

    async def _take(self, call: str, result) -> None:
        self._count(call, result.is_ok())
        self._note_platform(result.is_ok())
        if result.is_error():
            await self._context.timers.sleep(self._backoff * random.uniform(0.5, 1.0))
            self._backoff = min(BACKOFF_MAX_SECONDS, 2 * self._backoff)
            return
        self._backoff = BACKOFF_FIRST_SECONDS
        self._offer(result.ok)

    def _offer(self, changes: ObjectList) -> None:
        if self._cache.offer(changes.objects, changes.revision):
            self._peering.send_heartbeats()

    def _note_platform(self, is_up: bool) -> None:
        if is_up == self.is_platform_up:
            return
        self.is_platform_up = is_up
        kind = EventKind.PLATFORM_UP if is_up else EventKind.PLATFORM_DOWN
        self._context.timeline.record(kind)

    def _count(self, call: str, is_ok: bool) -> None:
        result = "ok" if is_ok else "failed"
        self._context.metrics.platform_calls.labels(call, result).inc()


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
