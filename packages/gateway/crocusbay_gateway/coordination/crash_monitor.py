"""Log and count what this host learns about requests that crash servers."""

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.quarantine import Quarantine
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import CrashReport

# Sources of a crash report, in logs and metrics.
SOURCE_OWN = "own"
SOURCE_PEER = "peer"


class CrashMonitor:
    """Update the quarantine, and log each change with its source."""

    def __init__(
        self,
        quarantine: Quarantine,
        log: EventLog,
        metrics: GatewayMetrics,
        timers: TimerService,
    ) -> None:
        self.quarantine = quarantine
        self._log = log
        self._metrics = metrics
        self._timers = timers

    def record_crash(
        self, report: CrashReport, source: str, request_id: str = ""
    ) -> None:
        """Record a crash that this host observed or that another host reported."""
        now = self._timers.now()
        was_known = self.quarantine.knows(report)
        is_newly_quarantined = self.quarantine.record_crash(report, now)
        if was_known:
            return
        self._metrics.server_crashes.inc(source)
        fields = {
            "fingerprint": report.fingerprint,
            "source": source,
            "request": request_id,
            "crashes": self.quarantine.crash_count(report.fingerprint),
        }
        self._log.warning("server-crashed", server=report.server, **fields)
        if is_newly_quarantined:
            self._metrics.quarantines.inc(source)
            self._log.warning("quarantined", **fields)

    def clear(self, fingerprint: str, request_id: str) -> None:
        """Delete the crashes of a request that a server has responded to."""
        crash_count = self.quarantine.crash_count(fingerprint)
        if not crash_count:
            return
        self.quarantine.clear(fingerprint)
        self._log.warning(
            "crashes-cleared",
            fingerprint=fingerprint,
            request=request_id,
            crashes=crash_count,
        )
