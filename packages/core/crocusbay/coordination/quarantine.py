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
class _Entry:
    upstreams: set[str]
    expires: float


class Quarantine:
    """Count the servers that each request crashed, by service."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._by_request: OrderedDict[tuple[str, str], _Entry] = OrderedDict()
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_quarantine: Callable[[], None]) -> None:
        """Register a callback that runs whenever a request is quarantined."""
        self._subscribers.append(on_quarantine)

    def record_crash(self, strike: CrashReport) -> bool:
        """Record a crash of one server; return whether it was not known yet."""
        key = (strike.fingerprint, strike.service)
        entry = self._by_request.get(key)
        if entry is None or entry.expires < self._now():
            entry = _Entry(set(), self._now() + CRASH_RETENTION_SECONDS)
            self._by_request[key] = entry
            self._by_request.move_to_end(key)
        is_new = strike.upstream not in entry.upstreams
        entry.upstreams.add(strike.upstream)
        while len(self._by_request) > MAX_FINGERPRINTS:
            self._by_request.popitem(last=False)
        if is_new and len(entry.upstreams) == CRASHES_TO_QUARANTINE:
            for on_quarantine in self._subscribers:
                on_quarantine()
        return is_new

    def is_quarantined(self, request: str, service: str = ALL_SERVICES) -> bool:
        """Return whether the request is quarantined at the service, or at every one."""
        entry = self._by_request.get((request, service))
        if entry is None or entry.expires < self._now():
            return False
        return len(entry.upstreams) >= CRASHES_TO_QUARANTINE

    def clear(self, request: str, service: str) -> None:
        """Drop the crashes recorded for a request that the service has answered."""
        self._by_request.pop((request, service), None)

    def recent_crashes(self) -> tuple[CrashReport, ...]:
        """Return the most recent crashes, to be sent to other hosts."""
        strikes: list[CrashReport] = []
        for (request, service), entry in reversed(self._by_request.items()):
            strikes += [CrashReport(request, service, name) for name in entry.upstreams]
            if len(strikes) >= MAX_SHARED_CRASHES:
                break
        return tuple(strikes[:MAX_SHARED_CRASHES])
