"""Watching the store: by one host while it can, by others when its view grows old.

Answers a fleet in which every call to the store has a price: one host polls, and the
others learn from it. It answers a store that turns some hosts away, too, since the next
host in rank polls once no fresher view is heard.
"""

from collections.abc import Callable

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.store import (
    HistoryLostError,
    Store,
    StoreUnavailableError,
)
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView

# A change is seen after one period at the most, well within the three seconds that
# the platform allows until it must be in force.
PERIOD_SECONDS = 0.8
# The watcher's period, a beat and the way of both.
STALE_SECONDS = 1.5
STALE_PER_RANK_SECONDS = 0.25
MAX_STALE_SECONDS = 2.2
IDLE_CHECK_SECONDS = 0.1
# A host that has just started hears of the others first.
FIRST_CALL_SECONDS = 0.2
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 0.6
# Hosts of these ranks poll once their view is old; so many that one of them probably
# reaches a store that turns a third of the hosts away.
RANKS_IN_DOUBT = 4
# While no host reaches the store, only these ask whether it is back.
RANKS_IN_OUTAGE = 2
# A host that was turned away this long ago may be served again.
FORGIVE_SECONDS = 4.0


def should_watch(rank: int, age: float, uptime: float, *, is_reached: bool) -> bool:
    """Return whether a host of this rank polls, given its view's age (seconds).

    `is_reached` tells whether any host is known to reach the store.
    """
    if rank >= (RANKS_IN_DOUBT if is_reached else RANKS_IN_OUTAGE):
        return False
    if rank == 0:
        return uptime >= FIRST_CALL_SECONDS
    patience = min(MAX_STALE_SECONDS, STALE_SECONDS + STALE_PER_RANK_SECONDS * rank)
    return min(age, uptime) > patience


class Watching:
    """Keep the views up to date from the store."""

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationView,
        servers: ServersView,
        membership: Membership,
        timers: TimerService,
        on_change: Callable[[str], None],
        on_store: Callable[[bool, str], None],
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._servers = servers
        self._membership = membership
        self._timers = timers
        self._on_change = on_change
        self._on_store = on_store
        self._started_at = timers.now()
        self._configuration_seen = 0
        self._failures = 0
        self._is_lost = False
        self._tried_at = float("-inf")

    @property
    def reaches_store(self) -> bool:
        """Return whether the store answers this host, as far as it knows."""
        if self._store.is_unanswered:
            return False
        return not self._is_lost or self._is_forgiven()

    def _is_forgiven(self) -> bool:
        return self._timers.now() - self._tried_at > FORGIVE_SECONDS

    async def watch_configuration(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            if not self._is_due(self._configuration.age(self._timers.now())):
                await self._timers.sleep(IDLE_CHECK_SECONDS)
                continue
            await self._guard(self._poll_configuration)
            if self._configuration.configuration is None:
                await self._timers.sleep(RETRY_SECONDS)

    async def watch_servers(self) -> None:
        """Follow the servers until cancelled."""
        while True:
            if not self._is_due(self._servers.age(self._timers.now())):
                await self._timers.sleep(IDLE_CHECK_SECONDS)
                continue
            if await self._guard(self._poll_servers):
                await self._timers.sleep(PERIOD_SECONDS)

    def _is_due(self, age: float) -> bool:
        uptime = self._timers.now() - self._started_at
        reaches = self.reaches_store
        return should_watch(
            self._membership.rank(reaches),
            age,
            uptime,
            is_reached=self._membership.is_store_reached(reaches),
        )

    async def _guard(self, poll: Callable) -> bool:
        """Run one poll; note whether the store was reached, and pause if not."""
        try:
            self._tried_at = self._timers.now()
            await poll()
        except StoreUnavailableError as error:
            self._tried_at = self._timers.now()
            self._failures += 1
            if not self._is_lost:
                self._is_lost = True
                self._on_store(False, str(error))
            pause = min(MAX_RETRY_SECONDS, RETRY_SECONDS * self._failures)
            await self._timers.sleep(pause)
            return False
        self._failures = 0
        if self._is_lost:
            self._is_lost = False
            self._on_store(True, "")
        return True

    async def _poll_configuration(self) -> None:
        view = self._configuration
        asked_at = self._timers.now()
        seen = max(self._configuration_seen, view.revision)
        if view.configuration is None:
            change = await self._store.read_configuration()
        else:
            try:
                change = await self._store.watch_configuration(seen, PERIOD_SECONDS)
                # The store answers at the moment of a change or at the period's end.
                asked_at = self._timers.now()
            except HistoryLostError:
                change = await self._store.read_configuration()
        self._configuration_seen = max(self._configuration_seen, change.seen)
        revision = change.revision or view.revision
        if view.offer(revision, change.configuration, asked_at):
            self._on_change("configuration")

    async def _poll_servers(self) -> None:
        view = self._servers
        before = view.revision
        asked_at = self._timers.now()
        if not view.seen:
            change = await self._store.list_servers()
            view.replace_all(change.entries, change.seen, asked_at)
        else:
            try:
                change = await self._store.watch_servers(view.seen)
                view.update(change.entries, change.seen, asked_at)
            except HistoryLostError:
                change = await self._store.list_servers()
                view.replace_all(change.entries, change.seen, asked_at)
        if view.revision > before:
            self._on_change("servers")
