"""Observation of requests that crash servers: what counts, what is logged."""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.quarantine import (
    Crash,
    Quarantine,
    decisive_crashes,
    request_fingerprint,
)
from crocusbay_gateway.coordination.registry import Server
from crocusbay_gateway.coordination.sources import SOURCE_OWN, SOURCE_PEER
from crocusbay_gateway.coordination.suspicions import (
    HOLD_DELAY_SECONDS,
    MAX_AGE_SECONDS,
    REPEATED_SAVE_DELAY_SECONDS,
    TRIAL_INTERVAL_SECONDS,
    ProcessState,
    Suspicion,
    Suspicions,
)
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import CrashReport, DismissedCrash, SuspectedCrash
from crocusbay_gateway.state import CallerRequest, ServerEntry
from crocusbay_gateway.transport import Listening

# Crashes observed within this time are reported together.
REPORT_DELAY_SECONDS = 0.005


class Finding(Enum):
    """What is known of the entry of a server that may have crashed."""

    LISTED = "listed"
    ENDED = "ended"


class CrashMonitor:
    """Update the quarantine, and log each change with its source.

    `report` is called soon after each crash that this host observed. `find_state` and
    `hidden_time` are those of `Suspicions`.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        log: EventLog,
        metrics: GatewayMetrics,
        timers: TimerService,
        report: Callable[[], None] = lambda: None,
        find_state: Callable[[Suspicion, float], ProcessState] = (
            lambda suspicion, now: ProcessState.UNKNOWN
        ),
        hidden_time: Callable[[float], float] = lambda now: 0.0,
    ) -> None:
        self.quarantine = quarantine
        self.suspicions = Suspicions(find_state, hidden_time)
        # Called when suspicions of a second copy of a request are due to be saved.
        self.on_repeated: Callable[[], None] = lambda: None
        # Store revision up to which the crashes in the store are known here.
        self.seen_revision = -1
        self.now: Callable[[], float] = timers.now
        # Requests whose crashes this host has observed or cleared, until `pop_changed`.
        self._changed: set[str] = set()
        # Requests with crashes that only other hosts had suspected, until
        # `pop_inherited`.
        self._inherited: set[str] = set()
        self._log = log
        self._metrics = metrics
        self._timers = timers
        self._report = report
        self._is_report_due = False

    def track(self, request: CallerRequest) -> "RequestCrashes":
        """Return the tracker of one copy of a request."""
        return RequestCrashes(self, request_fingerprint(request), request.attempt_id)

    def record_crash(
        self, fingerprint: str, crash: Crash, source: str, request_id: str = ""
    ) -> None:
        """Record a crash that this host observed or that another host reported."""
        quarantine = self.quarantine
        suspicion = self.suspicions.remove(fingerprint, crash.key)
        if suspicion is not None and suspicion.is_unanswered:
            crash = replace(crash, is_unanswered=True)
        known = quarantine.crashes(fingerprint).get(crash.key)
        is_known = known is not None
        is_newly_quarantined = quarantine.record_crash(fingerprint, crash, self.now())
        crashes = quarantine.crashes(fingerprint)
        fields = {
            "fingerprint": fingerprint,
            "source": source,
            "request": request_id,
            "crashes": len(crashes),
        }
        if crash.key in crashes and not is_known:
            self._metrics.server_crashes.inc(source)
            # Each crash is observed by one host and reported to all.
            log_event = self._log.warning if source == SOURCE_OWN else self._log.info
            log_event(
                "server-crashed", service=crash.service, server=crash.server, **fields
            )
        if source == SOURCE_OWN and crashes.get(crash.key) != known:
            self.report_soon()
        if source == SOURCE_OWN and crash.key in crashes:
            self._changed.add(fingerprint)
        if is_newly_quarantined:
            self._metrics.quarantines.inc(source)
            self._log.warning("quarantined", **fields)

    def log_suspicion(
        self,
        fingerprint: str,
        entry: ServerEntry,
        request_id: str,
        sign: str,
        finding: Finding | Listening,
    ) -> None:
        """Log that a server may have crashed, and what this host found out about it."""
        self._log.info(
            "crash-suspected",
            request=request_id,
            fingerprint=fingerprint,
            service=entry.service,
            server=entry.name,
            server_started_at=entry.started_at,
            sign=sign,
            finding=finding.value,
        )

    def record_reports(self, reports: tuple[CrashReport, ...], source: str) -> None:
        """Record the crashes that another host reported or that the store holds."""
        now = self.now()
        for report in reports:
            crash = Crash(
                report.service,
                report.server,
                report.server_started_at,
                now - report.age,
                report.is_unanswered,
            )
            self.record_crash(report.fingerprint, crash, source)

    def record_dismissals(self, dismissals: tuple[DismissedCrash, ...]) -> None:
        """Count crashes no more that another host has dismissed."""
        for dismissed in dismissals:
            was_counted = dismissed.key in self.quarantine.crashes(
                dismissed.fingerprint
            )
            self.suspicions.remove(dismissed.fingerprint, dismissed.key)
            if self.quarantine.dismiss(dismissed, self.now()):
                self._changed.add(dismissed.fingerprint)
            if was_counted:
                self._log.info(
                    "crashes-cleared",
                    fingerprint=dismissed.fingerprint,
                    server=dismissed.server,
                    source=SOURCE_PEER,
                    crashes=1,
                )

    def suspect(self, suspicion: Suspicion, sign: str) -> None:
        """Record that a server may have crashed under a copy that this host sent."""
        if self._is_judged(suspicion):
            return
        if not self.suspicions.record(suspicion, self.now()):
            return
        self._log.info(
            "crash-suspected",
            request=suspicion.request_id,
            fingerprint=suspicion.fingerprint,
            service=suspicion.service,
            server=suspicion.server,
            server_started_at=suspicion.server_started_at,
            sign=sign,
            unanswered=suspicion.is_unanswered,
        )
        others = self.suspicions.of_request(suspicion.fingerprint).values()
        if len({each.request_id for each in others}) > 1:
            self.report_soon()
            self._timers.at(
                self.now() + REPEATED_SAVE_DELAY_SECONDS, lambda: self.on_repeated()
            )

    def record_suspicions(
        self, reports: tuple[SuspectedCrash, ...], source: str
    ) -> None:
        """Record what another host suspects, or what the store holds of it."""
        now = self.now()
        for report in reports:
            if report.age >= MAX_AGE_SECONDS:
                continue
            sent_at = now - report.age
            responded_at = self.quarantine.responded_at_by_service(report.fingerprint)
            suspicion = Suspicion(
                report.fingerprint,
                report.service,
                report.server,
                report.server_started_at,
                sent_at,
                now,
                report.is_unanswered
                and all(at < sent_at for at in responded_at.values()),
                report.is_reset,
            )
            if self._is_judged(suspicion):
                continue
            if responded_at.get(report.service, float("-inf")) >= sent_at:
                dismissed = DismissedCrash(report.fingerprint, *report.key)
                self.quarantine.dismiss(dismissed, now)
            elif self.suspicions.record(suspicion, now):
                self._log.info(
                    "crash-suspected",
                    fingerprint=report.fingerprint,
                    service=report.service,
                    server=report.server,
                    server_started_at=report.server_started_at,
                    source=source,
                    unanswered=suspicion.is_unanswered,
                )

    def _is_judged(self, suspicion: Suspicion) -> bool:
        """Return whether the crash is certain already, or has another cause."""
        fingerprint, key = suspicion.fingerprint, suspicion.key
        quarantine = self.quarantine
        return key in quarantine.crashes(fingerprint) or quarantine.is_dismissed(
            fingerprint, key
        )

    def suspicions_to_save(
        self, *, includes_others: bool, is_last: bool
    ) -> list[Suspicion]:
        """Return the suspicions that must outlive all hosts, see `Suspicions`."""
        return self.suspicions.to_save(
            self.now(),
            lambda fingerprint: self.quarantine.crashes(fingerprint).values(),
            includes_others=includes_others,
            is_last=is_last,
        )

    def withdraw_suspicion(self, fingerprint: str, key: tuple[str, int]) -> None:
        """Suspect a server no more that only another host did, and does no more."""
        suspicion = self.suspicions.of_request(fingerprint).get(key)
        if suspicion is not None and not suspicion.is_own:
            self.suspicions.remove(fingerprint, key)

    def review_suspicions(self) -> None:
        """Record the crashes that are now certain, whichever host suspected them."""
        for suspicion in self.suspicions.review(self.now()):
            source = SOURCE_OWN if suspicion.is_own else SOURCE_PEER
            if not suspicion.is_own:
                self._inherited.add(suspicion.fingerprint)
            self.record_crash(suspicion.fingerprint, suspicion.crash, source)

    def suspected_count(self, fingerprint: str) -> int:
        """Return how many suspicions keep a further copy from the servers, or 0.

        They do if they would quarantine the request together with its crashes. A
        service that has responded to a copy before, to this host or another, may have
        lost responses to a harmless request. So may servers of which none has ended:
        those that reset connections don't count then, and as to those that are silent,
        one copy at a time finds out.
        """
        if self.quarantine.has_dismissed(fingerprint):
            return 0
        now = self.now()
        responded = self.quarantine.responded_at_by_service(fingerprint)
        held = [
            replace(each, is_unanswered=each.is_unanswered and not responded)
            for each in self.suspicions.held(fingerprint, now)
            if each.service not in responded
            and each.known_since <= now - HOLD_DELAY_SECONDS
        ]
        crash_by_process = self.quarantine.crashes(fingerprint)
        if not crash_by_process:
            held = [each for each in held if not each.is_reset]
        suspected_by_process = {each.key: each.crash for each in held}
        if not decisive_crashes((suspected_by_process | crash_by_process).values()):
            return 0
        latest = max((each.known_since for each in held), default=now)
        is_trial = not crash_by_process and latest <= now - TRIAL_INTERVAL_SECONDS
        return 0 if is_trial else len(held)

    def confirm(self, revision: int) -> None:
        """Note that the crashes in the store are known up to a revision of it."""
        self.seen_revision = max(self.seen_revision, revision)

    def share_again(self) -> None:
        """Report the latest crashes once more, to a host that may have missed them."""
        self.quarantine.share_again(self.now())
        self.suspicions.share_again(self.now())

    def report_now(self) -> None:
        """Report what is known, before a reply after which this host may be killed."""
        self._is_report_due = False
        self._report()

    def report_soon(self) -> None:
        """Report what is known, together with what is observed in the next moment."""
        if self._is_report_due:
            return

        def report() -> None:
            if self._is_report_due:
                self.report_now()

        self._is_report_due = True
        self._timers.at(self.now() + REPORT_DELAY_SECONDS, report)

    def record_response(self, fingerprint: str, service: str, request_id: str) -> None:
        """Record that a server ran a request to its end."""
        now = self.now()
        crash_count = self.quarantine.record_response(fingerprint, service, now)
        for suspicion in self.suspicions.remove_service(fingerprint, service):
            self._dismiss(suspicion)
        if crash_count:
            self._log.warning(
                "crashes-cleared",
                fingerprint=fingerprint,
                service=service,
                request=request_id,
                crashes=crash_count,
            )
            self._changed.add(fingerprint)

    def record_failure(self, fingerprint: str, key: tuple[str, int]) -> None:
        """Record that a server responded to a request with a failure."""
        suspicion = self.suspicions.clear(fingerprint, key)
        if suspicion is not None:
            self._dismiss(suspicion)

    def _dismiss(self, suspicion: Suspicion) -> None:
        dismissed = DismissedCrash(suspicion.fingerprint, *suspicion.key)
        self.quarantine.dismiss(dismissed, self.now())

    def pop_inherited(self) -> set[str]:
        """Return the requests with crashes that only other hosts had suspected."""
        inherited, self._inherited = self._inherited, set()
        return inherited

    def pop_changed(self) -> set[str]:
        """Return the requests whose crashes this host has observed or cleared."""
        changed, self._changed = self._changed, set()
        return changed

    def pop_expired(self) -> list[str]:
        """Delete the records whose retention has ended; return their fingerprints."""
        return self.quarantine.pop_expired(self.now())


class RequestCrashes:
    """Track the crashes and responses during one copy of a request."""

    __slots__ = (
        "fingerprint",
        "has_response",
        "_monitor",
        "_request_id",
        "_crash_by_server",
        "_has_ended",
        "_responded_at_by_service",
        "_suspected",
    )

    def __init__(
        self, monitor: CrashMonitor, fingerprint: str, request_id: str
    ) -> None:
        self.fingerprint = fingerprint
        self.has_response = False
        self._monitor = monitor
        self._request_id = request_id
        self._crash_by_server: dict[tuple[str, int], Crash] = {}
        self._has_ended = False
        self._responded_at_by_service: dict[str, float] = {}
        # Processes that are suspected to have crashed under this copy.
        self._suspected: set[tuple[str, int]] = set()

    @property
    def servers(self) -> list[str]:
        """Return the names of the servers that crashed."""
        return sorted(crash.server for crash in self._crash_by_server.values())

    def is_quarantined(self) -> bool:
        """Return whether the request is quarantined."""
        monitor = self._monitor
        return monitor.quarantine.is_quarantined(self.fingerprint, monitor.now())

    def suspect_reset(self, server: Server, sent_at: float) -> None:
        """Record a crash if nothing listens any more, or the server's entry ends.

        A connection may also be reset while the server runs on. Another process may
        accept connections at the address of a server that crashed.
        """
        crash = self._make_crash(server.entry, sent_at)
        if server.has_ended:
            self._await_end(server, crash, "reset", Finding.ENDED)
            return
        self._suspect(crash, "reset")

        def handle_check(listening: Listening) -> None:
            if (
                listening is Listening.REFUSED
                and self._monitor.now() < server.may_exit_at
            ):
                self._log_suspicion(server, "reset", listening)
                self._record_crash(crash)
            else:
                self._await_end(server, crash, "reset", listening)

        server.pool.check_listening(handle_check)

    def suspect(self, server: Server, sent_at: float) -> None:
        """Suspect a crash, as there has been no response for longer than usual."""
        self._suspect(self._make_crash(server.entry, sent_at), "overdue")

    def _suspect(self, crash: Crash, sign: str) -> None:
        """Record that a server may have crashed."""
        if self._is_answered(crash):
            return
        self._suspected.add(crash.key)
        self._monitor.suspect(
            Suspicion(
                self.fingerprint,
                crash.service,
                crash.server,
                crash.server_started_at,
                crash.crashed_at,
                self._monitor.now(),
                is_unanswered=not self.has_response,
                is_reset=sign == "reset",
                is_own=True,
                request_id=self._request_id,
            ),
            sign,
        )

    def suspect_silence(self, server: Server, sent_at: float) -> None:
        """Record a crash if the server's entry has ended or ends soon.

        The link to the server may also be interrupted.
        """
        finding = Finding.ENDED if server.has_ended else Finding.LISTED
        crash = self._make_crash(server.entry, sent_at)
        self._await_end(server, crash, "silence", finding)

    def suspect_end(self, server: Server, sent_at: float) -> None:
        """Record a crash if a server whose entry has ended accepts no connection.

        A server may also leave without saying so, and finish its requests.
        """

        def handle_check(listening: Listening) -> None:
            self._log_suspicion(server, "end", listening)
            if listening is not Listening.ACCEPTED:
                self._record_crash(crash)

        crash = self._make_crash(server.entry, sent_at)
        server.pool.check_listening(handle_check)

    def record_failure(self, server: Server) -> None:
        """Record that a server responded to the request with a failure."""
        key = server.entry.name, server.entry.started_at
        self._monitor.record_failure(self.fingerprint, key)

    def record_response(self, service: str) -> None:
        """Record that a server of the service ran the request to its end."""
        if not self.has_response:
            self.has_response = True
            self._monitor.suspicions.mark_answered(
                self.fingerprint, self._suspected, self._monitor.now()
            )
        self._responded_at_by_service[service] = self._monitor.now()
        self._monitor.record_response(self.fingerprint, service, self._request_id)

    def end(self) -> None:
        """Count the crashes against the request as a whole if no server responded."""
        self._has_ended = True
        for crash in self._crash_by_server.values():
            self._record(crash)
        if not self.has_response and (self._suspected or self._crash_by_server):
            self._monitor.report_now()

    def _await_end(
        self, server: Server, crash: Crash, sign: str, finding: Finding | Listening
    ) -> None:
        """Record a crash once the entry has ended."""
        self._log_suspicion(server, sign, finding)
        if not server.has_ended:
            self._suspect(crash, sign)
        server.on_end(lambda: self._record_crash(crash), self._monitor.now())

    def _log_suspicion(
        self, server: Server, sign: str, finding: Finding | Listening
    ) -> None:
        self._monitor.log_suspicion(
            self.fingerprint, server.entry, self._request_id, sign, finding
        )

    def _make_crash(self, entry: ServerEntry, sent_at: float) -> Crash:
        return Crash(entry.service, entry.name, entry.started_at, sent_at)

    def _record_crash(self, crash: Crash) -> None:
        """Record a crash unless the service has responded since the request was sent.

        A request that crashes servers gets no response from any server of a service.
        """
        if self._is_answered(crash):
            return
        self._crash_by_server.setdefault(crash.key, crash)
        self._record(crash)

    def _is_answered(self, crash: Crash) -> bool:
        """Return whether the service has responded since the request was sent."""
        responded_at = self._responded_at_by_service.get(crash.service)
        return responded_at is not None and responded_at >= crash.crashed_at

    def _record(self, crash: Crash) -> None:
        is_unanswered = self._has_ended and not self.has_response
        self._monitor.record_crash(
            self.fingerprint,
            replace(crash, is_unanswered=is_unanswered),
            SOURCE_OWN,
            self._request_id,
        )
