"""Suspicions in the platform's store, where they outlive all hosts.

Each host writes its own into one object. The first host to poll the store also writes
those that a lost host has only told of, and removes what lost hosts have left.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.sources import SOURCE_STORE
from crocusbay_gateway.coordination.store import Store, SuspicionKey
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.protocol import SuspectedCrash

# What is no longer suspected is removed from the store together, after this time.
REMOVAL_DELAY_SECONDS = 0.5
# The same for what other hosts have written, which they should have removed by then.
FOREIGN_REMOVAL_DELAY_SECONDS = 10.0


def _keys(suspicions: Iterable[SuspectedCrash]) -> set[SuspicionKey]:
    return {(each.fingerprint, each.key) for each in suspicions}


class SuspicionStore:
    """Write, read and remove suspicions; calls may raise StoreUnavailableError.

    `is_crash_saved` returns whether the store holds what is known of a request's
    crashes, and has it written if not.
    """

    def __init__(
        self,
        host: str,
        crash_monitor: CrashMonitor,
        store: Store,
        is_crash_saved: Callable[[str], bool],
        log: EventLog,
        timers: TimerService,
    ) -> None:
        self._host = host
        self._crash_monitor = crash_monitor
        self._store = store
        self._is_crash_saved = is_crash_saved
        self._log = log
        self._timers = timers
        # What the store holds of this host: whether each one is unanswered.
        self._saved: dict[SuspicionKey, bool] = {}
        self._written_at = float("-inf")
        self._keys_by_other_host: dict[str, set[SuspicionKey]] = {}
        # Since when nothing that the object of another host names is suspected.
        self._settled_at_by_host: dict[str, float] = {}
        # When this host first read each suspicion (seconds).
        self._read_at: dict[SuspicionKey, float] = {}

    def observe(
        self, suspicions_by_host: Mapping[str, tuple[SuspectedCrash, ...]]
    ) -> None:
        """Record what the store holds."""
        held = set().union(*map(_keys, suspicions_by_host.values()))
        self._read_at = {key: at for key, at in self._read_at.items() if key in held}
        for fingerprint, process in set().union(*self._keys_by_other_host.values()):
            if (fingerprint, process) not in held:
                self._crash_monitor.withdraw_suspicion(fingerprint, process)
        self._keys_by_other_host.clear()
        for host, suspicions in suspicions_by_host.items():
            if host != self._host:
                self._keys_by_other_host[host] = _keys(suspicions)
            self._record(suspicions)
        own = suspicions_by_host.get(self._host, ())
        self._saved = {(each.fingerprint, each.key): each.is_unanswered for each in own}

    def write_again(self) -> None:
        """Write what a restored store has lost."""
        self._saved.clear()

    async def write(self, *, is_first: bool, is_last: bool = False) -> None:
        """Write and remove what is due.

        `is_first` is whether this host is the first to poll the store, `is_last`
        whether it writes for the last time, and so without delay.
        """
        now = self._timers.now()
        held_elsewhere = set().union(*self._keys_by_other_host.values())
        added = tuple(
            suspicion.report(now)
            for suspicion in self._crash_monitor.suspicions_to_save(
                includes_others=is_first, is_last=is_last
            )
            if self._saved.get(key := (suspicion.fingerprint, suspicion.key))
            != suspicion.is_unanswered
            and (suspicion.is_own or key not in held_elsewhere)
        )
        settled = {key for key in self._saved if self._is_settled(key)}
        if now < self._written_at + REMOVAL_DELAY_SECONDS:
            settled = set()
        if added or settled:
            await self._update(self._host, added, settled)
        if is_first:
            await self._remove_settled(now)

    async def _update(
        self,
        host: str,
        added: tuple[SuspectedCrash, ...],
        removed: set[SuspicionKey],
    ) -> None:
        held = await self._store.update_suspicions(host, added, removed)
        self._log.info(
            "suspicions-saved",
            peer=host,
            added=len(added),
            removed=len(removed),
            suspicions=len(held),
        )
        if host == self._host:
            self._written_at = self._timers.now()
            # An earlier process of this host may have left some.
            self._record(each for each in held if each not in added)
            self._saved = {
                (each.fingerprint, each.key): each.is_unanswered for each in held
            }

    async def _remove_settled(self, now: float) -> None:
        """Remove what other hosts have left in the store."""
        for host, keys in list(self._keys_by_other_host.items()):
            if not all(map(self._is_settled, keys)):
                self._settled_at_by_host.pop(host, None)
                continue
            since = self._settled_at_by_host.setdefault(host, now)
            if now >= since + FOREIGN_REMOVAL_DELAY_SECONDS:
                await self._update(host, (), keys)
                del self._settled_at_by_host[host]
                del self._keys_by_other_host[host]

    def _is_settled(self, key: SuspicionKey) -> bool:
        """Return whether a suspicion is cleared, or saved as a crash."""
        fingerprint, process = key
        monitor = self._crash_monitor
        if process in monitor.suspicions.of_request(fingerprint):
            return False
        is_crash = process in monitor.quarantine.crashes(fingerprint)
        return not is_crash or self._is_crash_saved(fingerprint)

    def _record(self, suspicions: Iterable[SuspectedCrash]) -> None:
        """Record suspicions, which are as old as this host knows of them."""
        now = self._timers.now()
        for suspicion in suspicions:
            key = suspicion.fingerprint, suspicion.key
            if key not in self._saved:
                age = now - self._read_at.setdefault(key, now)
                aged = msgspec.structs.replace(suspicion, age=age)
                self._crash_monitor.record_suspicions((aged,), SOURCE_STORE)
