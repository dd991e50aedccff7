"""Synchronization of the quarantine with the platform's store.

Crashes in the store outlast a restart of all hosts, and are known to hosts that do not
receive each other's heartbeats.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import anyio
import msgspec

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.sources import SOURCE_STORE
from crocusbay_gateway.coordination.store import Store, StoreUnavailableError
from crocusbay_gateway.coordination.suspicion_store import SuspicionStore
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.protocol import CrashReport

# Identifies a crash: the fingerprint of the request, and the server process.
CrashKey = tuple[str, tuple[str, int]]

SYNCHRONIZATION_INTERVAL_SECONDS = 0.25
# Until the next try after the store has not responded, or rejected a call.
RETRY_SECONDS = 0.5
# Allows a host that has just started to receive heartbeats before it reads.
STARTUP_DELAY_SECONDS = 0.2
# Hosts that read after their start; the others learn from heartbeats. They also write
# quarantines for the hosts that observed them, which may be killed before they do.
READERS = 3
# Crashes removed from the store that stay removed after a restore of it.
MAX_REMOVED_CRASHES = 256


class QuarantineStore:
    """Write the crashes that this host observed, and read those of others.

    Hosts that poll the servers read whatever else has changed in the store; they tell
    the hosts that they exchange heartbeats with. A few hosts write the quarantines of
    others too.
    """

    def __init__(
        self,
        crash_monitor: CrashMonitor,
        membership: Membership,
        store: Store,
        reaches_store: Callable[[], bool],
        log: EventLog,
        timers: TimerService,
    ) -> None:
        self._crash_monitor = crash_monitor
        self._membership = membership
        self._store = store
        self._reaches_store = reaches_store
        self._log = log
        self._timers = timers
        self._has_read = False
        # Whether the store may hold crashes that this host has not read.
        self._is_outdated = False
        # For each crash in the store, whether no server responded to the copy.
        self._saved_by_fingerprint: dict[str, dict[tuple[str, int], bool]] = {}
        # Fingerprints whose crashes may differ from those in the store, in the order of
        # writing: one that can't be written must not keep the others from it.
        self._changed: dict[str, None] = {}
        # When this host first read or wrote each crash in the store (seconds).
        self._read_at_by_fingerprint: dict[str, dict[tuple[str, int], float]] = {}
        # Crashes that this host has removed lately, in the order of removal.
        self._removed: OrderedDict[CrashKey, None] = OrderedDict()
        self._suspicion_store = SuspicionStore(
            membership.name,
            crash_monitor,
            store,
            self._is_saved,
            log,
            timers,
        )
        self._is_due = anyio.Event()
        crash_monitor.on_repeated = lambda: self._is_due.set()

    async def run(self) -> None:
        """Synchronize until cancelled."""
        await self._timers.sleep(STARTUP_DELAY_SECONDS)
        while True:
            is_done = await self.synchronize()
            if is_done:
                await self._wait(SYNCHRONIZATION_INTERVAL_SECONDS)
            else:
                await self._timers.sleep(RETRY_SECONDS)

    async def _wait(self, seconds: float) -> None:
        """Wait, but not longer than until suspicions are due to be saved."""
        self._is_due = due = anyio.Event()
        timer = self._timers.at(self._timers.now() + seconds, due.set)
        await due.wait()
        timer.cancel()

    async def flush(self) -> None:
        """Write what this host knows before it stops."""
        self._mark_changed(sorted(self._crash_monitor.pop_changed()))
        try:
            await self._suspicion_store.write(is_first=False, is_last=True)
            for fingerprint in list(self._changed):
                await self._write(fingerprint)
        except StoreUnavailableError as error:
            self._log.info("quarantine-not-synchronized", reason=str(error))

    def observe_poll(
        self, after_revision: int, seen_revision: int, has_other_changes: bool
    ) -> None:
        """Find out from a poll of the store whether crashes may have changed."""
        if after_revision > self._crash_monitor.seen_revision or has_other_changes:
            self._is_outdated = True
        else:
            self._crash_monitor.confirm(seen_revision)

    def write_again(self) -> None:
        """Write what a restored store has lost, and remove what it has again."""
        self._mark_changed(self._saved_by_fingerprint)
        self._saved_by_fingerprint.clear()
        self._suspicion_store.write_again()

    async def synchronize(self) -> bool:
        """Read, write and remove what is due; return whether the store took part.

        What fails is due again next time.
        """
        rank = self._membership.polling_rank(self._reaches_store())
        is_reader = rank < READERS
        self._crash_monitor.review_suspicions()
        self._mark_changed(sorted(self._crash_monitor.pop_changed()))
        inherited = self._crash_monitor.pop_inherited()
        expired = self._crash_monitor.pop_expired()
        if rank == 0:
            # The hosts that suspected these crashes may be lost.
            self._mark_changed(sorted(inherited))
        if is_reader:
            self._mark_changed(expired)
            quarantined = self._crash_monitor.quarantine.quarantined
            self._mark_changed(sorted(quarantined - self._saved_by_fingerprint.keys()))
        else:
            for fingerprint in expired:
                self._saved_by_fingerprint.pop(fingerprint, None)
                self._read_at_by_fingerprint.pop(fingerprint, None)
        try:
            if self._is_outdated or (is_reader and not self._has_read):
                await self._read()
            for fingerprint in list(self._changed):
                await self._write(fingerprint)
            await self._suspicion_store.write(is_first=rank == 0)
        except StoreUnavailableError as error:
            self._log.info("quarantine-not-synchronized", reason=str(error))
            return False
        return True

    def _is_saved(self, fingerprint: str) -> bool:
        """Return whether the store holds a request's crashes; write them if not."""
        if fingerprint in self._changed:
            return False
        if fingerprint not in self._saved_by_fingerprint:
            self._mark_changed([fingerprint])
            return False
        return True

    def _mark_changed(self, fingerprints: Iterable[str]) -> None:
        """Write the crashes of these requests, after those that wait already."""
        for fingerprint in fingerprints:
            self._changed.setdefault(fingerprint)

    async def _read(self) -> None:
        self._is_outdated = False
        try:
            change = await self._store.list_crash_reports()
        except StoreUnavailableError:
            self._is_outdated = True
            raise
        self._has_read = True
        self._saved_by_fingerprint.clear()
        for report in change.reports:
            saved = self._saved_by_fingerprint.setdefault(report.fingerprint, {})
            saved[report.key] = report.is_unanswered
        self._log.info(
            "crashes-read",
            requests=len(self._saved_by_fingerprint),
            crashes=len(change.reports),
            suspicions=sum(map(len, change.suspicions_by_host.values())),
        )
        for fingerprint in list(self._read_at_by_fingerprint):
            self._keep_read_times(fingerprint)
        self._record(change.reports)
        self._suspicion_store.observe(change.suspicions_by_host)
        self._crash_monitor.confirm(change.seen_revision)

    async def _write(self, fingerprint: str) -> None:
        """Write the crashes of a request that the store lacks, and remove others."""
        quarantine = self._crash_monitor.quarantine
        saved = self._saved_by_fingerprint.get(fingerprint, {})
        reports = tuple(
            report
            for report in quarantine.decisive_reports(fingerprint, self._timers.now())
            if saved.get(report.key) != report.is_unanswered
        )
        removed = saved.keys() - quarantine.crashes(fingerprint).keys()
        self._changed.pop(fingerprint, None)
        if not (reports or removed):
            return
        try:
            held = await self._store.update_crash_reports(fingerprint, reports, removed)
        except StoreUnavailableError:
            self._mark_changed([fingerprint])
            raise
        self._log.info(
            "crashes-saved",
            fingerprint=fingerprint,
            added=len(reports),
            removed=len(removed),
            crashes=len(held),
        )
        for key in removed:
            self._removed[fingerprint, key] = None
        while len(self._removed) > MAX_REMOVED_CRASHES:
            self._removed.popitem(last=False)
        self._saved_by_fingerprint.pop(fingerprint, None)
        if held:
            # The store holds a limited number, so that some may be left out.
            self._saved_by_fingerprint[fingerprint] = {
                report.key: report.is_unanswered for report in (*reports, *held)
            }
        self._keep_read_times(fingerprint)
        self._record(held)

    def _keep_read_times(self, fingerprint: str) -> None:
        """Forget when the crashes of a request were read that the store has lost."""
        saved = self._saved_by_fingerprint.get(fingerprint, {})
        read_at = self._read_at_by_fingerprint.pop(fingerprint, {})
        kept = {key: at for key, at in read_at.items() if key in saved}
        if kept:
            self._read_at_by_fingerprint[fingerprint] = kept

    def _record(self, reports: tuple[CrashReport, ...]) -> None:
        """Record crashes in the store, which are as old as this host knows of them.

        Those that don't count, as a server has responded since, are removed.
        """
        now = self._timers.now()
        quarantine = self._crash_monitor.quarantine
        for report in reports:
            crash = report.fingerprint, report.key
            if crash not in self._removed:
                read_at = self._read_at_by_fingerprint.setdefault(
                    report.fingerprint, {}
                )
                age = now - read_at.setdefault(report.key, now)
                aged = msgspec.structs.replace(report, age=age)
                self._crash_monitor.record_reports((aged,), SOURCE_STORE)
            if report.key not in quarantine.crashes(report.fingerprint):
                self._mark_changed([report.fingerprint])
