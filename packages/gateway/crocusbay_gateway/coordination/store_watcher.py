"""Polling of the store by one host, and by others when their views become stale.

Every call to the store has a cost, so one host polls and the others fetch its view. If
the store rejects some hosts, the next host in rank polls once its own view is stale.
"""

from collections import deque
from collections.abc import Callable

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.store import (
    RevisionExpiredError,
    Store,
    StoreUnavailableError,
)
from crocusbay_gateway.coordination.views import ConfigurationView, ServersView
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.state import era_of, format_revision

# A change is read within one interval, well within the three seconds after which the
# platform requires it to be in force.
POLL_INTERVAL_SECONDS = 0.8
# Covers the polling interval, the heartbeat interval and the network delay of both.
STALE_AFTER_SECONDS = 1.5
STALE_AFTER_PER_RANK_SECONDS = 0.25
MAX_STALE_AFTER_SECONDS = 2.2
IDLE_CHECK_SECONDS = 0.1
# Allows a host that has just started to receive heartbeats before its first poll.
STARTUP_DELAY_SECONDS = 0.2
# A poll that took longer was answered at a later attempt, after an outage.
OVERDUE_POLL_SECONDS = 1.0
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 0.6
# Number of hosts that poll once their view is stale: enough that one of them probably
# reaches a store that rejects a third of the hosts.
STALE_VIEW_POLLERS = 4
# Number of hosts that poll while no host reaches the store.
OUTAGE_POLLERS = 2
# Changes of the configuration between two polls of the servers, at most.
MAX_CHANGE_REVISIONS = 64
# The store may accept a host again this long after rejecting it.
REJECTION_EXPIRY_SECONDS = 4.0


def should_poll(rank: int, age: float, uptime: float, *, is_reached: bool) -> bool:
    """Return whether a host of this rank polls, given its view's age (seconds).

    `is_reached` is whether any host is known to reach the store.
    """
    if rank >= (STALE_VIEW_POLLERS if is_reached else OUTAGE_POLLERS):
        return False
    if rank == 0:
        return uptime >= STARTUP_DELAY_SECONDS
    stale_after = min(
        MAX_STALE_AFTER_SECONDS,
        STALE_AFTER_SECONDS + STALE_AFTER_PER_RANK_SECONDS * rank,
    )
    return min(age, uptime) > stale_after


class StoreWatcher:
    """Keep the views up to date from the store.

    `on_change` is called with the name of a changed view; `on_store_state` when the
    store is reached again or no longer, with the reason for the latter. `on_poll` is
    called with the store revisions after and up to which the servers were polled, and
    whether something else than servers and configuration may have changed in between.
    """

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationView,
        servers: ServersView,
        membership: Membership,
        timers: TimerService,
        on_change: Callable[[str], None],
        on_store_state: Callable[[bool, str], None],
        log: EventLog,
        on_poll: Callable[[int, int, bool], None] = lambda after, seen, is_other: None,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._servers = servers
        self._membership = membership
        self._timers = timers
        self._on_change = on_change
        self._on_store_state = on_store_state
        self._log = log
        self._on_poll = on_poll
        # Revisions of the latest changes of the configuration.
        self._change_revisions: deque[int] = deque(maxlen=MAX_CHANGE_REVISIONS)
        self._started_at = timers.now()
        self._configuration_seen_revision = 0
        # Era in which this host has listed the servers, or found them known.
        self._listed_era: int | None = None
        self._consecutive_failures = 0
        self._is_store_lost = False
        self._last_call_at = float("-inf")
        self._last_failure_at = float("-inf")

    @property
    def reaches_store(self) -> bool:
        """Return whether the store is expected to accept calls of this host."""
        if self._store.has_overdue_call:
            return False
        return not self._is_store_lost or self._is_rejection_expired()

    def _is_rejection_expired(self) -> bool:
        return self._timers.now() - self._last_call_at > REJECTION_EXPIRY_SECONDS

    async def watch_configuration(self) -> None:
        """Poll the configuration until cancelled."""
        while True:
            if not self._is_due(self._configuration.age(self._timers.now())):
                await self._timers.sleep(IDLE_CHECK_SECONDS)
                continue
            await self._run_poll(self._poll_configuration)
            if self._configuration.configuration is None:
                await self._timers.sleep(RETRY_SECONDS)

    async def watch_servers(self) -> None:
        """Poll the servers until cancelled."""
        while True:
            if not self._is_due(self._servers.age(self._timers.now())):
                await self._timers.sleep(IDLE_CHECK_SECONDS)
                continue
            if await self._run_poll(self._poll_servers):
                await self._timers.sleep(POLL_INTERVAL_SECONDS)

    def _is_due(self, age: float) -> bool:
        uptime = self._timers.now() - self._started_at
        reaches_store = self.reaches_store
        return should_poll(
            self._membership.polling_rank(reaches_store),
            age,
            uptime,
            is_reached=self._membership.is_store_reached(reaches_store),
        )

    async def _run_poll(self, poll: Callable) -> bool:
        """Run a poll and return whether it reached the store; if not, wait to retry."""
        try:
            self._last_call_at = self._timers.now()
            await poll()
        except StoreUnavailableError as error:
            self._last_call_at = self._timers.now()
            self._last_failure_at = self._last_call_at
            self._consecutive_failures += 1
            if not self._is_store_lost:
                self._is_store_lost = True
                self._on_store_state(False, str(error))
            delay = min(MAX_RETRY_SECONDS, RETRY_SECONDS * self._consecutive_failures)
            await self._timers.sleep(delay)
            return False
        self._consecutive_failures = 0
        if self._is_store_lost:
            self._is_store_lost = False
            self._on_store_state(True, "")
        return True

    async def _poll_configuration(self) -> None:
        view = self._configuration
        confirmed_at = self._timers.now()
        seen_revision = max(self._configuration_seen_revision, view.revision)
        if view.configuration is None:
            change = await self._store.read_configuration()
        else:
            try:
                change = await self._store.watch_configuration(
                    seen_revision, POLL_INTERVAL_SECONDS
                )
                # The store responds upon a change or at the end of the interval.
                confirmed_at = self._timers.now()
            except RevisionExpiredError:
                change = await self._store.read_configuration()
                self._log_list("configuration", seen_revision, change.seen_revision)
        self._change_revisions.extend(change.change_revisions)
        self._configuration_seen_revision = max(
            self._configuration_seen_revision, change.seen_revision
        )
        if change.problem:
            self._log.warning(
                "configuration-rejected",
                revision=format_revision(change.seen_revision),
                reason=change.problem,
                known_version=view.version,
            )
        revision = change.revision or view.revision
        if view.update(revision, change.configuration, confirmed_at):
            self._on_change("configuration")
        elif change.configuration is not None:
            self._log.info(
                "configuration-not-newer",
                version=change.configuration.version,
                revision=format_revision(revision),
                known_version=view.configuration.version,
                known_revision=format_revision(view.revision),
            )

    async def _poll_servers(self) -> None:
        view = self._servers
        previous_cursor = view.cursor
        after_revision = view.seen_revision
        confirmed_at = self._timers.now()
        if self._listed_era is None:
            self._listed_era = era_of(view.seen_revision)
        try:
            # A host that lists a restored store delays the removals that it finds, and
            # may end before others hear of them: each host that polls lists once.
            if not view.seen_revision or era_of(view.seen_revision) > self._listed_era:
                raise RevisionExpiredError
            change = await self._store.watch_servers(after_revision)
            apply = view.update
        except RevisionExpiredError:
            change = await self._store.list_servers()
            apply = view.replace_all
            self._listed_era = era_of(change.seen_revision)
            self._log_list("servers", view.seen_revision, change.seen_revision)
        now = self._timers.now()
        if now - confirmed_at > OVERDUE_POLL_SECONDS:
            self._last_failure_at = now
        apply(
            change.entries,
            change.seen_revision,
            confirmed_at,
            has_failed_calls=self._last_failure_at > view.confirmed_at,
        )
        changes = change.change_count + sum(
            after_revision < revision <= change.seen_revision
            for revision in set(self._change_revisions)
        )
        has_other_changes = change.seen_revision - after_revision != changes
        self._on_poll(after_revision, change.seen_revision, has_other_changes)
        if view.cursor > previous_cursor:
            self._on_change("servers")

    def _log_list(self, view: str, known_revision: int, seen_revision: int) -> None:
        """Log that a view is listed, as later changes are unknown."""
        self._log.info(
            "store-listed",
            view=view,
            known=format_revision(known_revision),
            revision=format_revision(seen_revision),
        )
