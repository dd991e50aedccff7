"""Views: local copies of the configuration and the servers in the store.

A view includes all changes up to the store revision `seen_revision`; `revision` is that
of the newest change in it. Revisions rise over restores of the store, while the content
of the store goes back: what a view knows of later times is kept.

`confirmed_at` is when the store last confirmed the view, on the monotonic clock: a
stale view may still be correct, but this is not known.
"""

from collections.abc import Callable, Iterable

import msgspec

from crocusbay_gateway.state import Bounds, Configuration, ServerEntry, era_of

# Removals are delayed after an outage of the store: servers whose entries expired
# during it write them again within two seconds.
REMOVAL_DELAY_SECONDS = 2.2
# Added to the lease after which a restored store drops the entries of servers that have
# left: a host reads the restored store, and the removal, within one interval each.
REVIVAL_MARGIN_SECONDS = 1.5
# A view confirmed no longer ago than this has not missed an outage of the store.
OUTAGE_AGE_SECONDS = 1.6
# After this time an outage is assumed, even if no call of this host has failed.
UNPOLLED_AGE_SECONDS = 3.0
# Entries of removed servers are kept this long, for other hosts to receive them.
TOMBSTONE_SECONDS = 120.0


class ConfigurationView:
    """Store the newest configuration; it is never replaced by an older one.

    Configurations are ordered by version, since a restored store may have an older one
    at a newer revision.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.revision = 0
        self.confirmed_at = float("-inf")
        self._subscribers: list[Callable[[Configuration], None]] = []

    @property
    def version(self) -> int | None:
        """Return the version of the configuration, if there is one."""
        return None if self.configuration is None else self.configuration.version

    @property
    def order(self) -> tuple[int, int]:
        """Return a value that is higher in views with a newer configuration."""
        return (-1 if self.version is None else self.version), self.revision

    def subscribe(self, on_change: Callable[[Configuration], None]) -> None:
        """Register a callback for each newer configuration."""
        self._subscribers.append(on_change)

    def age(self, now: float) -> float:
        """Return the time since the store confirmed the view (seconds)."""
        return now - self.confirmed_at

    def update(
        self, revision: int, configuration: Configuration | None, confirmed_at: float
    ) -> bool:
        """Apply the store's state as of `confirmed_at`; return whether it was newer."""
        is_newer = configuration is not None and self._is_newer(revision, configuration)
        if is_newer:
            self.configuration = configuration
        if self.configuration is not None and revision >= self.revision:
            self.revision = revision
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if is_newer:
            for on_change in self._subscribers:
                on_change(configuration)
        return is_newer

    def _is_newer(self, revision: int, configuration: Configuration) -> bool:
        known = self.configuration
        if known is None or configuration.version != known.version:
            return known is None or configuration.version > known.version
        return revision > self.revision and configuration != known


class ServersView:
    """Store the newest entry of each server.

    A restored store lists servers that have left since the copy until their leases end
    (`server_lease`, seconds); until then, entries that go back from what the view knows
    are not applied.
    """

    def __init__(self, server_lease: float = Bounds.server_lease) -> None:
        self.server_lease = server_lease
        self.by_name: dict[str, ServerEntry] = {}
        self.revision = 0
        self.seen_revision = 0
        self.confirmed_at = float("-inf")
        # Times that delayed changes were applied since the newest change.
        self._late_removals = 0
        self._removed_at_by_name: dict[str, float] = {}
        self._delayed_removals: dict[str, float] = {}
        self._removals_delayed_until = float("-inf")
        self._delayed_revivals: dict[str, ServerEntry] = {}
        self._revivals_delayed_until = float("-inf")
        # Since when outages of the store hide changes, and until when they delay them.
        self._hidden_since = float("inf")
        self._outage_affects_until = float("-inf")
        self._subscribers: list[Callable[[list[ServerEntry]], None]] = []

    def subscribe(self, on_change: Callable[[list[ServerEntry]], None]) -> None:
        """Register a callback for changed entries."""
        self._subscribers.append(on_change)

    def unknown_for(self, now: float) -> float:
        """Return for how long changes seen now may have been unknown (seconds)."""
        return now - self._hidden_since if now < self._outage_affects_until else 0.0

    def age(self, now: float) -> float:
        """Return the time since the store confirmed the view (seconds)."""
        return now - self.confirmed_at

    @property
    def cursor(self) -> tuple[int, int]:
        """Return a value that is higher in views with more of the changes.

        Consists of the revision and the number of times that delayed changes have been
        applied since then.
        """
        return self.revision, self._late_removals

    def replace_all(
        self,
        entries: Iterable[ServerEntry],
        seen_revision: int,
        confirmed_at: float,
        *,
        has_failed_calls: bool = False,
    ) -> None:
        """Apply a full list from the store; servers missing from it are removed."""
        listed = {entry.name: entry for entry in entries}
        is_new_era = era_of(seen_revision) > era_of(self.seen_revision)
        # In a new era, hosts that know only the copy have to hear of old removals.
        missing = [
            ServerEntry(name, seen_revision, is_removed=True)
            for name, entry in self.by_name.items()
            if name not in listed and (is_new_era or not entry.is_removed)
        ]
        self.update(
            [*listed.values(), *missing],
            seen_revision,
            confirmed_at,
            has_failed_calls=has_failed_calls,
        )

    def update(
        self,
        entries: Iterable[ServerEntry],
        seen_revision: int,
        confirmed_at: float,
        *,
        has_failed_calls: bool = False,
    ) -> None:
        """Apply changes that make the view complete up to a store revision.

        After an outage, removals are delayed, since servers may not have had time to
        write their entries again. `has_failed_calls` is whether calls of this host
        failed since the view was confirmed.
        """
        if era_of(seen_revision) < era_of(self.seen_revision):
            return
        min_age = OUTAGE_AGE_SECONDS if has_failed_calls else UNPOLLED_AGE_SECONDS
        self._record_outage(confirmed_at)
        self._delay_removals_after_outage(confirmed_at, min_age)
        self._advance_seen(seen_revision, confirmed_at)
        changed = []
        for entry in entries:
            known = self.by_name.get(entry.name)
            if not entry.is_removed:
                self._delayed_removals.pop(entry.name, None)
            elif known is None:
                continue
            elif not known.is_removed and confirmed_at < self._removals_delayed_until:
                self._delayed_removals.setdefault(entry.name, confirmed_at)
                continue
            if self._is_applicable(entry, confirmed_at) or _restates(entry, known):
                changed.append(entry)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._apply(changed, seen_revision, confirmed_at)
        self._apply_due_removals(confirmed_at)
        self._apply_due_revivals(confirmed_at)

    def merge(
        self,
        entries: Iterable[ServerEntry],
        cursor: tuple[int, int],
        seen_revision: int,
        confirmed_at: float,
    ) -> None:
        """Apply the entries by which another host's view is ahead of this one."""
        revision, late_removals = cursor
        self._record_outage(confirmed_at)
        is_new_era = era_of(seen_revision) > era_of(self.seen_revision)
        # A host that delays removals has not seen all up to its revision.
        if is_new_era or not self.seen_revision:
            self._advance_seen(seen_revision, confirmed_at)
        changed = [each for each in entries if self._is_applicable(each, confirmed_at)]
        self._apply(changed, revision, confirmed_at)
        self.confirm(revision, seen_revision, confirmed_at)
        if self.revision == revision:
            self._late_removals = max(self._late_removals, late_removals)

    def confirm(self, revision: int, seen_revision: int, confirmed_at: float) -> None:
        """Record that another host's view of a revision was complete at `confirmed_at`.

        `seen_revision` is not advanced while removals are delayed: the other host may
        have read that the entries were written again, which does not change its view.
        """
        if seen_revision >= self.revision:
            self._record_outage(confirmed_at)
            # The other host polled first; this one may be the first to see removals.
            self._delay_removals_after_outage(confirmed_at, UNPOLLED_AGE_SECONDS)
            self._advance(revision)
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            if not self._delayed_removals:
                self._advance_seen(seen_revision, confirmed_at)
            self._apply_due_revivals(confirmed_at)

    def _record_outage(self, confirmed_at: float) -> None:
        age = self.age(confirmed_at)
        if age > OUTAGE_AGE_SECONDS and self.by_name:
            # A further outage may go on hiding what an earlier one hid.
            if self.confirmed_at >= self._outage_affects_until:
                self._hidden_since = self.confirmed_at
            self._outage_affects_until = (
                confirmed_at + REMOVAL_DELAY_SECONDS + UNPOLLED_AGE_SECONDS
            )

    def changed_since(self, revision: int) -> tuple[ServerEntry, ...]:
        """Return the entries with a change at a revision or after it."""
        return tuple(
            entry for entry in self.by_name.values() if entry.revision >= revision
        )

    def _delay_removals_after_outage(self, now: float, min_age: float) -> None:
        if self.age(now) > min_age and self.by_name:
            self._removals_delayed_until = now + REMOVAL_DELAY_SECONDS

    def _advance_seen(self, seen_revision: int, now: float) -> None:
        """Record what is read up to; a new era may lack or revive servers for a while.

        Servers that have started since the copy have to write their entries again.
        """
        if era_of(seen_revision) > era_of(self.seen_revision) and self.by_name:
            self._removals_delayed_until = now + REMOVAL_DELAY_SECONDS
            self._revivals_delayed_until = (
                now + self.server_lease + REVIVAL_MARGIN_SECONDS
            )
        self.seen_revision = max(self.seen_revision, seen_revision)

    def _is_applicable(self, entry: ServerEntry, now: float) -> bool:
        """Return whether to apply an entry now; keep one that revives a server."""
        known = self.by_name.get(entry.name)
        self._delayed_revivals.pop(entry.name, None)
        if known is None:
            return True
        if not _replaces(entry, known):
            return False
        if now < self._revivals_delayed_until and entry.goes_back_from(known):
            self._delayed_revivals[entry.name] = entry
            return False
        return True

    def _advance(self, revision: int) -> None:
        if revision > self.revision:
            self.revision = revision
            self._late_removals = 0

    def _apply_due_removals(self, now: float) -> None:
        """Apply removals whose delay is over."""
        if now < self._removals_delayed_until or not self._delayed_removals:
            return
        removed = [
            ServerEntry(name, self.seen_revision, is_removed=True)
            for name in self._delayed_removals
        ]
        self._delayed_removals.clear()
        self._apply_late(removed, now)

    def _apply_due_revivals(self, now: float) -> None:
        """Apply entries that outlasted the leases of servers that have left."""
        if now < self._revivals_delayed_until or not self._delayed_revivals:
            return
        revived = [
            msgspec.structs.replace(entry, revision=self.seen_revision)
            for entry in self._delayed_revivals.values()
        ]
        self._delayed_revivals.clear()
        self._apply_late(revived, now)

    def _apply_late(self, changed: list[ServerEntry], now: float) -> None:
        """Apply changes after a delay, as changes at the newest revision.

        Other hosts may know the other changes up to there already.
        """
        previous_revision = self.revision
        self._apply(changed, self.seen_revision, now)
        if self.revision == previous_revision:
            self._late_removals += 1

    def _apply(
        self, changed: list[ServerEntry], complete_revision: int, now: float
    ) -> None:
        """Apply changes; those after `complete_revision` may not be all there are."""
        if not changed:
            return
        for entry in changed:
            self.by_name[entry.name] = self._with_known_start(entry)
            self._delayed_removals.pop(entry.name, None)
            self._advance(min(entry.revision, complete_revision))
            if entry.is_removed:
                self._removed_at_by_name[entry.name] = now
            else:
                self._removed_at_by_name.pop(entry.name, None)
        for name, removed_at in list(self._removed_at_by_name.items()):
            if removed_at + TOMBSTONE_SECONDS < now:
                del self._removed_at_by_name[name]
                self.by_name.pop(name, None)
        for on_change in self._subscribers:
            on_change(changed)

    def _with_known_start(self, entry: ServerEntry) -> ServerEntry:
        """Return a removal with the start of the process that is removed."""
        known = self.by_name.get(entry.name)
        if known is None or not entry.is_removed or entry.started_at:
            return entry
        return msgspec.structs.replace(entry, started_at=known.started_at)


def _replaces(entry: ServerEntry, known: ServerEntry) -> bool:
    """Return whether an entry differs and is newer, or removes the same revision."""
    if not known.differs_in_effect(entry):
        return False
    return entry.revision > known.revision or (
        entry.is_removed and entry.revision == known.revision
    )


def _restates(entry: ServerEntry, known: ServerEntry) -> bool:
    """Return whether the store states again that a server is leaving or removed.

    Hosts that know only the older copy of a restored store have to hear of it.
    """
    return not entry.is_usable and entry.revision > known.revision
