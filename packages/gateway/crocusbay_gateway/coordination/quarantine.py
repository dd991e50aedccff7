"""Quarantine of requests that crash the servers that run them.

A caller may send such a request repeatedly and to any host, so hosts report the crashes
that they observe to each other.
"""

import random
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, KeysView, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice

import xxhash

from crocusbay_gateway.protocol import CrashReport, DismissedCrash
from crocusbay_gateway.state import CallerRequest

CRASHES_TO_QUARANTINE = 3
CRASH_RETENTION_SECONDS = 600.0
MAX_FINGERPRINTS = 5_000
# Crash reports in one heartbeat, limited so that it fits into a datagram.
MAX_SHARED_CRASHES = 8
# Each crash is reported in the heartbeats of this period, and later only if the request
# is quarantined, one request at a time.
CRASH_SHARING_SECONDS = 3.0
# Requests whose crashes are reported again to a host that was not reached; as many as
# heartbeats have room for in that period.
MAX_SHARED_AGAIN = 64
# Dismissed crashes in one heartbeat, limited likewise.
MAX_SHARED_DISMISSALS = 8
# Requests whose latest responses are remembered, some seconds' worth at a host.
MAX_RECENT_RESPONSES = 128
# Crashes of one request in the store, limited so that they fit into an object.
MAX_SAVED_CRASHES = 100


def request_fingerprint(request: CallerRequest) -> str:
    """Return a hash that is the same for all copies of a request."""
    digest = xxhash.xxh3_64()
    for text in (request.method, request.host, request.target, request.caller_ip):
        digest.update(text.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class Crash:
    """Describe the crash of a server while it ran a request (seconds).

    `crashed_at` is when the request was sent to the server, at the earliest.
    `server_started_at` distinguishes restarts under the same name. `is_unanswered` is
    whether no server responded to the copy of the request that the server ran.
    """

    service: str
    server: str
    server_started_at: int
    crashed_at: float
    is_unanswered: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the server process."""
        return self.server, self.server_started_at


@dataclass(slots=True)
class _Record:
    """Store the crashes of one request and when servers last responded to it."""

    crash_by_server: dict[tuple[str, int], Crash] = field(default_factory=dict)
    # Crashes that a later response has shown to have another cause.
    dismissed: set[tuple[str, int]] = field(default_factory=set)
    responded_at_by_service: dict[str, float] = field(default_factory=dict)
    expires_at: float = 0.0

    @property
    def is_quarantined(self) -> bool:
        """Return whether no server may run the request."""
        return bool(self.decisive_crashes())

    def dismiss(self, key: tuple[str, int]) -> bool:
        """Count a crash no more; return whether it was not dismissed yet."""
        is_new = key not in self.dismissed
        self.dismissed.add(key)
        self.crash_by_server.pop(key, None)
        return is_new

    def add(self, crash: Crash) -> None:
        """Add a crash unless a later response shows that it does not count."""
        responded_at = self.responded_at_by_service
        if responded_at.get(crash.service, float("-inf")) >= crash.crashed_at:
            self.dismissed.add(crash.key)
        if crash.key in self.dismissed:
            return
        if any(at >= crash.crashed_at for at in responded_at.values()):
            crash = replace(crash, is_unanswered=False)
        known = self.crash_by_server.get(crash.key)
        if known is None or (crash.is_unanswered and not known.is_unanswered):
            self.crash_by_server[crash.key] = crash

    def decisive_crashes(self) -> list[Crash]:
        """Return the crashes that quarantine the request, or none if it is not."""
        return decisive_crashes(self.crash_by_server.values())

    def crashes_to_report(self) -> list[Crash]:
        """Return the crashes that other hosts need to know."""
        return self.decisive_crashes() or list(self.crash_by_server.values())


def decisive_crashes(crashes: Collection[Crash]) -> list[Crash]:
    """Return those of the crashes that quarantine a request, or none."""
    by_service: dict[str, list[Crash]] = defaultdict(list)
    for crash in crashes:
        by_service[crash.service].append(crash)
    unanswered = [crash for crash in crashes if crash.is_unanswered]
    for counted in (unanswered, *by_service.values()):
        if len(counted) >= CRASHES_TO_QUARANTINE:
            return counted[:CRASHES_TO_QUARANTINE]
    return []


def merge_crash_reports(
    known: tuple[CrashReport, ...],
    added: Collection[CrashReport],
    removed: Collection[tuple[str, int]] = (),
) -> tuple[CrashReport, ...]:
    """Return the known crashes of a request with others added, and some removed.

    What is added replaces what is known of the same server process. Of many crashes,
    the latest are kept.
    """
    by_key = {report.key: report for report in known}
    for report in added:
        previous = by_key.get(report.key)
        if previous is None or previous.is_unanswered != report.is_unanswered:
            by_key[report.key] = report
    kept = [report for key, report in by_key.items() if key not in removed]
    return tuple(kept[-MAX_SAVED_CRASHES:])


class Quarantine:
    """Count the servers that each request crashed; times are in seconds.

    A request is quarantined after crashing three servers of one service, also if other
    services respond to it, or three servers while none responded.
    """

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Record] = OrderedDict()
        # When servers responded, by service, for the latest requests.
        self._responded_at_by_fingerprint: OrderedDict[str, dict[str, float]] = (
            OrderedDict()
        )
        # Requests with crashes to report, in the order of the next reports.
        self._shared_until: OrderedDict[str, float] = OrderedDict()
        # Dismissed crashes to report, likewise.
        self._dismissals_shared_until: OrderedDict[DismissedCrash, float] = (
            OrderedDict()
        )
        self._quarantined: OrderedDict[str, None] = OrderedDict()

    @property
    def fingerprints(self) -> KeysView[str]:
        """Return the fingerprints of the requests with known crashes."""
        return self._by_fingerprint.keys()

    @property
    def quarantined(self) -> KeysView[str]:
        """Return the fingerprints of the requests that are quarantined."""
        return self._quarantined.keys()

    def record_crash(self, fingerprint: str, crash: Crash, now: float) -> bool:
        """Record a crash; return whether the request is quarantined by it."""
        if crash.crashed_at + CRASH_RETENTION_SECONDS < now:
            return False
        record = self._record_of(fingerprint)
        crash_by_server = dict(record.crash_by_server)
        was_quarantined = record.is_quarantined
        was_dismissed = crash.key in record.dismissed
        record.add(crash)
        if crash.key in record.dismissed and not was_dismissed:
            self._share_dismissals(fingerprint, [crash.key], now)
        record.expires_at = max(
            record.expires_at, crash.crashed_at + CRASH_RETENTION_SECONDS
        )
        if record.crash_by_server == crash_by_server:
            return False
        self._by_fingerprint.move_to_end(fingerprint)
        while len(self._by_fingerprint) > MAX_FINGERPRINTS:
            self._forget(next(iter(self._by_fingerprint)))
        self._shared_until[fingerprint] = now + CRASH_SHARING_SECONDS
        self._shared_until.move_to_end(fingerprint, last=False)
        if not record.is_quarantined:
            return False
        self._quarantined.setdefault(fingerprint)
        return not was_quarantined

    def record_response(self, fingerprint: str, service: str, now: float) -> int:
        """Record that a server ran a request; return how many crashes this affects."""
        self._remember_response(fingerprint, service, now)
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            return 0
        previous = record.crash_by_server
        record.responded_at_by_service[service] = now
        dismissed = [key for key, crash in previous.items() if crash.service == service]
        record.dismissed.update(dismissed)
        self._share_dismissals(fingerprint, dismissed, now)
        record.crash_by_server = {
            key: replace(crash, is_unanswered=False)
            for key, crash in previous.items()
            if crash.service != service
        }
        if not record.is_quarantined:
            self._quarantined.pop(fingerprint, None)
        return sum(
            record.crash_by_server.get(key) != crash for key, crash in previous.items()
        )

    def dismiss(self, dismissed: DismissedCrash, now: float) -> bool:
        """Count a crash no more; return whether that is news to this host."""
        record = self._record_of(dismissed.fingerprint)
        if not record.dismiss(dismissed.key):
            return False
        record.expires_at = max(record.expires_at, now + CRASH_RETENTION_SECONDS)
        if not record.is_quarantined:
            self._quarantined.pop(dismissed.fingerprint, None)
        self._share_dismissals(dismissed.fingerprint, [dismissed.key], now)
        return True

    def dismissals_to_share(self, now: float) -> tuple[DismissedCrash, ...]:
        """Return the dismissed crashes of the next heartbeat."""
        shared_until = self._dismissals_shared_until
        for dismissed in [each for each, until in shared_until.items() if until < now]:
            del shared_until[dismissed]
        reports = tuple(islice(shared_until, MAX_SHARED_DISMISSALS))
        for dismissed in reports:
            shared_until.move_to_end(dismissed)
        return reports

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is quarantined."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None or record.expires_at < now:
            return False
        return record.is_quarantined

    def is_dismissed(self, fingerprint: str, key: tuple[str, int]) -> bool:
        """Return whether a response has shown that a crash has another cause."""
        record = self._by_fingerprint.get(fingerprint)
        return record is not None and key in record.dismissed

    def has_dismissed(self, fingerprint: str) -> bool:
        """Return whether a response has shown another cause of any crash."""
        record = self._by_fingerprint.get(fingerprint)
        return record is not None and bool(record.dismissed)

    def responded_at_by_service(self, fingerprint: str) -> Mapping[str, float]:
        """Return when the servers of services last responded to a request, if known."""
        return self._responded_at_by_fingerprint.get(fingerprint, {})

    def crashes(self, fingerprint: str) -> dict[tuple[str, int], Crash]:
        """Return the known crashes of a request, by server."""
        record = self._by_fingerprint.get(fingerprint)
        return {} if record is None else record.crash_by_server

    def decisive_reports(self, fingerprint: str, now: float) -> list[CrashReport]:
        """Return the reports that another host needs to reach the same decision."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            return []
        return [
            CrashReport(
                fingerprint,
                crash.server,
                crash.service,
                crash.server_started_at,
                round(now - crash.crashed_at, 3),
                crash.is_unanswered,
            )
            for crash in record.crashes_to_report()
        ]

    def reports_to_share(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crash reports of the next heartbeat.

        Includes one quarantined request, each in turn, so that a host that starts or
        was partitioned learns of all of them.
        """
        reports: list[CrashReport] = []
        if self._quarantined:
            fingerprint = next(iter(self._quarantined))
            self._quarantined.move_to_end(fingerprint)
            reports += self.decisive_reports(fingerprint, now)
        for fingerprint, shared_until in list(self._shared_until.items()):
            if shared_until < now:
                del self._shared_until[fingerprint]
                continue
            if len(reports) >= MAX_SHARED_CRASHES:
                break
            crashes = self.decisive_reports(fingerprint, now)
            random.shuffle(crashes)
            reports += [crash for crash in crashes if crash not in reports]
            self._shared_until.move_to_end(fingerprint)
        return tuple(reports[:MAX_SHARED_CRASHES])

    def share_again(self, now: float) -> None:
        """Report the crashes of the latest requests for another period."""
        latest = islice(reversed(self._by_fingerprint), MAX_SHARED_AGAIN)
        for fingerprint in list(latest):
            self._shared_until[fingerprint] = now + CRASH_SHARING_SECONDS

    def pop_expired(self, now: float) -> list[str]:
        """Delete the records whose retention has ended; return their fingerprints."""
        expired = [
            fingerprint
            for fingerprint, record in self._by_fingerprint.items()
            if record.expires_at < now
        ]
        for fingerprint in expired:
            self._forget(fingerprint)
        return expired

    def _record_of(self, fingerprint: str) -> _Record:
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            record = _Record()
            responded_at = self._responded_at_by_fingerprint.get(fingerprint, {})
            record.responded_at_by_service.update(responded_at)
            self._by_fingerprint[fingerprint] = record
        return record

    def _remember_response(self, fingerprint: str, service: str, now: float) -> None:
        recent = self._responded_at_by_fingerprint
        recent.setdefault(fingerprint, {})[service] = now
        recent.move_to_end(fingerprint)
        if len(recent) > MAX_RECENT_RESPONSES:
            recent.popitem(last=False)

    def _share_dismissals(
        self, fingerprint: str, keys: Iterable[tuple[str, int]], now: float
    ) -> None:
        for key in keys:
            dismissed = DismissedCrash(fingerprint, *key)
            self._dismissals_shared_until[dismissed] = now + CRASH_SHARING_SECONDS

    def _forget(self, fingerprint: str) -> None:
        del self._by_fingerprint[fingerprint]
        self._shared_until.pop(fingerprint, None)
        self._quarantined.pop(fingerprint, None)
