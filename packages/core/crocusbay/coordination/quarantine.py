"""Quarantine of requests that crash the servers that execute them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from crocusbay.protocol.peer import CrashReport

CRASHES_TO_QUARANTINE = 2
CRASH_RETENTION_SECONDS = 120.0
MAX_FINGERPRINTS = 10_000
MAX_SHARED_CRASHES = 64
ALL_SERVICES = "*"


def request_fingerprint(deployment: str, target: str, body: bytes = b"") -> str:
    """Return a hash of the request that is the same when it is sent again."""
    digest = xxhash.xxh3_128(deployment.encode())
    digest.update(b"\0" + target.encode() + b"\0" + body)
    return digest.hexdigest()


@dataclass(slots=True)
class _Crashes:
    crashed_at_by_upstream: dict[str, float]
    expires: float


class Quarantine:
    """Count the servers that each request crashed, by service."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._crashes_by_key: OrderedDict[tuple[str, str], _Crashes] = OrderedDict()
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_quarantine: Callable[[], None]) -> None:
        """Register a callback that runs whenever a request is quarantined."""
        self._subscribers.append(on_quarantine)

    def record_crash(self, crash: CrashReport) -> bool:
        """Record a crash of one server; return whether it was not known yet."""
        key = (crash.fingerprint, crash.service)
        crashed_at = self._now() - crash.age_ms / 1000
        expires = crashed_at + CRASH_RETENTION_SECONDS
        if expires < self._now():
            return False
        entry = self._crashes_by_key.get(key)
        if entry is None or entry.expires < self._now():
            entry = _Crashes({}, expires)
            self._crashes_by_key[key] = entry
            self._crashes_by_key.move_to_end(key)
        is_new = crash.upstream not in entry.crashed_at_by_upstream
        entry.crashed_at_by_upstream.setdefault(crash.upstream, crashed_at)
        while len(self._crashes_by_key) > MAX_FINGERPRINTS:
            self._crashes_by_key.popitem(last=False)
        if is_new and len(entry.crashed_at_by_upstream) == CRASHES_TO_QUARANTINE:
            for on_quarantine in self._subscribers:
                on_quarantine()
        return is_new

    def is_quarantined(self, fingerprint: str, service: str = ALL_SERVICES) -> bool:
        """Return whether the request is quarantined at the service, or at every one."""
        entry = self._crashes_by_key.get((fingerprint, service))
        if entry is None or entry.expires < self._now():
            return False
        return len(entry.crashed_at_by_upstream) >= CRASHES_TO_QUARANTINE

    def clear(self, fingerprint: str, service: str) -> None:
        """Drop the crashes recorded for a request that the service has answered."""
        self._crashes_by_key.pop((fingerprint, service), None)

    def recent_crashes(self) -> tuple[CrashReport, ...]:
        """Return the most recent crashes, to be sent to other hosts."""
        now = self._now()
        crashes: list[CrashReport] = []
        for (fingerprint, service), entry in reversed(self._crashes_by_key.items()):
            if entry.expires < now:
                continue
            crashes += [
                CrashReport(fingerprint, service, name, int((now - crashed_at) * 1000))
                for name, crashed_at in entry.crashed_at_by_upstream.items()
            ]
            if len(crashes) >= MAX_SHARED_CRASHES:
                break
        return tuple(crashes[:MAX_SHARED_CRASHES])
