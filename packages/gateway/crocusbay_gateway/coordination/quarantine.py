"""Quarantine of requests that crash the servers that run them.

A caller may send such a request repeatedly and to any host, so hosts send each other
reports of the crashes that they observe.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from crocusbay_gateway.protocol import CrashReport
from crocusbay_gateway.state import CallerRequest

CRASHES_TO_QUARANTINE = 3
CRASH_RETENTION_SECONDS = 120.0
MAX_FINGERPRINTS = 5_000
# Crash reports in one heartbeat, limited so that it fits into a datagram.
MAX_SHARED_CRASHES = 8
# Crash reports are sent to other hosts for this long.
CRASH_SHARING_SECONDS = 3.0


def request_fingerprint(request: CallerRequest) -> str:
    """Return a hash that is the same for all copies of a request."""
    digest = xxhash.xxh3_64()
    for text in (request.method, request.host, request.target, request.caller_ip):
        digest.update(text.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


@dataclass(slots=True)
class _Crashes:
    servers: set[str] = field(default_factory=set)
    expires_at: float = 0.0
    last_crash_at: float = 0.0


class Quarantine:
    """Count the servers that each request crashed; times are in seconds."""

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Crashes] = OrderedDict()

    def record_crash(self, report: CrashReport, now: float) -> bool:
        """Record a crash; return whether the request becomes quarantined by it."""
        crashes = self._by_fingerprint.get(report.fingerprint)
        if crashes is None or crashes.expires_at < now:
            crashes = self._by_fingerprint[report.fingerprint] = _Crashes()
        if report.server in crashes.servers:
            return False
        crashes.servers.add(report.server)
        crashes.expires_at = now + CRASH_RETENTION_SECONDS
        crashes.last_crash_at = now
        while len(self._by_fingerprint) > MAX_FINGERPRINTS:
            self._by_fingerprint.popitem(last=False)
        return len(crashes.servers) == CRASHES_TO_QUARANTINE

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether a request with this fingerprint is quarantined."""
        crashes = self._by_fingerprint.get(fingerprint)
        if crashes is None or crashes.expires_at < now:
            return False
        return len(crashes.servers) >= CRASHES_TO_QUARANTINE

    def knows(self, report: CrashReport) -> bool:
        """Return whether a crash has already been recorded."""
        crashes = self._by_fingerprint.get(report.fingerprint)
        return crashes is not None and report.server in crashes.servers

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of servers that a request is known to have crashed."""
        crashes = self._by_fingerprint.get(fingerprint)
        return 0 if crashes is None else len(crashes.servers)

    def clear(self, fingerprint: str) -> None:
        """Delete the crashes of a request that a server has responded to."""
        self._by_fingerprint.pop(fingerprint, None)

    def recent_crashes(self, now: float) -> tuple[CrashReport, ...]:
        """Return the most recent crash reports, for sending to other hosts."""
        reports: list[CrashReport] = []
        for fingerprint, crashes in reversed(self._by_fingerprint.items()):
            if crashes.last_crash_at + CRASH_SHARING_SECONDS < now:
                break
            reports += [
                CrashReport(fingerprint, server) for server in sorted(crashes.servers)
            ]
            if len(reports) >= MAX_SHARED_CRASHES:
                break
        return tuple(reports[:MAX_SHARED_CRASHES])
