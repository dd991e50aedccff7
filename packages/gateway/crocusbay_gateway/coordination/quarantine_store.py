"""Synchronization of the quarantine with the platform's store.

Crash reports in the store outlast a restart of all hosts.
"""

from collections import deque
from collections.abc import Callable

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.sources import SOURCE_STORE
from crocusbay_gateway.coordination.store import Store, StoreUnavailableError
from crocusbay_gateway.log import EventLog

SYNCHRONIZATION_INTERVAL_SECONDS = 0.5
# Allows a host that has just started to receive heartbeats before it reads.
STARTUP_DELAY_SECONDS = 0.2
# Hosts that read after their start; the others learn from heartbeats. They also write
# quarantines for the hosts that observed them, which may be killed before they do.
READERS = 3
# Removals that are repeated after a restore of the store.
MAX_REMOVED_FINGERPRINTS = 64
# A host without heartbeats from others learns only from the store.
ISOLATED_READ_INTERVAL_SECONDS = 2.0


class QuarantineStore:
    """Write the crashes that this host observed, and read those of others.

    A few hosts write the quarantines of others too.
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
        self._read_at = float("-inf")
        # Fingerprints of quarantines to write, to remove, and known to be in the store.
        self._unsaved: set[str] = set()
        self._expired: set[str] = set()
        self._saved: set[str] = set()
        # Fingerprints that this host has removed lately, in the order of removal.
        self._removed: deque[str] = deque(maxlen=MAX_REMOVED_FINGERPRINTS)

    async def run(self) -> None:
        """Synchronize until cancelled."""
        await self._timers.sleep(STARTUP_DELAY_SECONDS)
        while True:
            await self.synchronize()
            await self._timers.sleep(SYNCHRONIZATION_INTERVAL_SECONDS)

    def write_again(self) -> None:
        """Write what a restored store has lost, and remove what it has again."""
        self._unsaved.update(self._saved)
        self._saved.clear()
        self._expired.update(self._removed)

    async def synchronize(self) -> None:
        """Read, write and remove what is due; what fails is due again next time."""
        expired = self._crash_monitor.pop_cleared()
        expired.update(self._crash_monitor.pop_expired())
        self._unsaved.update(self._crash_monitor.pop_unsaved())
        if self._membership.polling_rank(self._reaches_store()) < READERS:
            quarantined = self._crash_monitor.quarantine.quarantined
            self._unsaved.update(quarantined - self._saved)
        self._unsaved.difference_update(expired)
        self._expired.update(self._saved.intersection(expired))
        try:
            if self._is_read_due():
                await self._read()
            for fingerprint in sorted(self._unsaved):
                await self._write(fingerprint)
            for fingerprint in sorted(self._expired):
                await self._store.remove_crash_reports(fingerprint)
                self._expired.discard(fingerprint)
                self._removed.append(fingerprint)
                self._saved.discard(fingerprint)
        except StoreUnavailableError as error:
            self._log.info("quarantine-not-synchronized", reason=str(error))

    def _is_read_due(self) -> bool:
        if not self._membership.live_hosts:
            elapsed = self._timers.now() - self._read_at
            return elapsed >= ISOLATED_READ_INTERVAL_SECONDS
        has_read = self._read_at > float("-inf")
        rank = self._membership.polling_rank(self._reaches_store())
        return not has_read and rank < READERS

    async def _read(self) -> None:
        started_at = self._timers.now()
        reports = await self._store.list_crash_reports()
        self._read_at = started_at
        self._saved.update(report.fingerprint for report in reports)
        self._log.info(
            "crashes-read",
            requests=len({report.fingerprint for report in reports}),
            crashes=len(reports),
        )
        self._crash_monitor.record_reports(reports, SOURCE_STORE)

    async def _write(self, fingerprint: str) -> None:
        reports = self._crash_monitor.quarantine.decisive_reports(
            fingerprint, self._timers.now()
        )
        if fingerprint in self._expired:
            # The removal was due before the request crashed servers again.
            self._expired.discard(fingerprint)
        await self._store.write_crash_reports(fingerprint, tuple(reports))
        self._log.info("crashes-saved", fingerprint=fingerprint, crashes=len(reports))
        self._unsaved.discard(fingerprint)
        self._saved.add(fingerprint)
