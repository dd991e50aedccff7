"""Replication of platform objects to every host.

In each data centre a few hosts watch the platform; the others receive changes from
their peers.
"""

import random

import xxhash

from crocusbay.coordination.context import Context
from crocusbay.coordination.membership import Membership
from crocusbay.coordination.object_cache import ObjectCache
from crocusbay.coordination.peering import Peering
from crocusbay.protocol.platform import ObjectList
from crocusbay.state import EventKind
from crocusbay.state.keys import REPLICATED_PREFIXES
from crocusbay.transport import PlatformClient

WATCHERS_PER_DATA_CENTRE = 2
POLL_INTERVAL_SECONDS = 20.0
HOST_LIST_INTERVAL_SECONDS = 5.0
HOST_LIST_INTERVAL_NO_PEERS_SECONDS = 1.0
WATCHER_CHECK_INTERVAL_SECONDS = 2.0
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0


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
        self._backoff = INITIAL_BACKOFF_SECONDS

    @property
    def is_watcher(self) -> bool:
        """Return whether this host watches the platform for its data centre."""
        place = self._context.place
        candidates = [m.name for m in self._membership.serving if m.place == place]
        own_rank = _election_rank(self._context.host)
        return (
            sum(_election_rank(name) < own_rank for name in candidates)
            < WATCHERS_PER_DATA_CENTRE
        )

    async def replicate_objects(self) -> None:
        """Watch the platform if elected, else poll rarely, until cancelled."""
        await self._poll()
        while True:
            if self.is_watcher:
                await self._watch()
            else:
                await self._wait_and_poll()

    async def poll_host_list(self) -> None:
        """Read the platform's host list at intervals until cancelled.

        Hosts that are not watchers discover others from heartbeats.
        """
        while True:
            has_no_peers = not self._membership.live
            if has_no_peers or self.is_watcher:
                await self._read_host_list()
            pause = (
                HOST_LIST_INTERVAL_NO_PEERS_SECONDS
                if has_no_peers
                else HOST_LIST_INTERVAL_SECONDS
            )
            await self._context.timers.sleep(pause * random.uniform(0.8, 1.2))

    async def _read_host_list(self) -> None:
        hosts = await self._platform.list_hosts()
        self._count_call("hosts", hosts.is_ok())
        if hosts.is_ok():
            self._membership.set_platform_hosts(hosts.ok.hosts)

    async def _wait_and_poll(self) -> None:
        elapsed = 0.0
        poll_after = POLL_INTERVAL_SECONDS * random.uniform(0.8, 1.2)
        while elapsed < poll_after and not self.is_watcher:
            await self._context.timers.sleep(WATCHER_CHECK_INTERVAL_SECONDS)
            elapsed += WATCHER_CHECK_INTERVAL_SECONDS
        await self._poll()

    async def _poll(self) -> None:
        listed = await self._platform.list_after(
            REPLICATED_PREFIXES, self._cache.revision
        )
        await self._handle_result("list", listed)

    async def _watch(self) -> None:
        changes = await self._platform.watch(REPLICATED_PREFIXES, self._cache.revision)
        await self._handle_result("watch", changes)

    async def _handle_result(self, call: str, result) -> None:
        self._count_call(call, result.is_ok())
        self._set_platform_up(result.is_ok())
        if result.is_error():
            await self._context.timers.sleep(self._backoff * random.uniform(0.5, 1.0))
            self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
            return
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._merge_changes(result.ok)

    def _merge_changes(self, changes: ObjectList) -> None:
        if self._cache.merge(changes.objects, changes.revision):
            self._peering.send_heartbeats()

    def _set_platform_up(self, is_up: bool) -> None:
        if is_up == self.is_platform_up:
            return
        self.is_platform_up = is_up
        kind = EventKind.PLATFORM_UP if is_up else EventKind.PLATFORM_DOWN
        self._context.timeline.record(kind)

    def _count_call(self, call: str, is_ok: bool) -> None:
        result = "ok" if is_ok else "failed"
        self._context.metrics.platform_calls.labels(call, result).inc()


def _election_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
