"""Prometheus metrics of one host, labelled by deployment."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_SECONDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.051,
    0.075,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """Metrics in a registry of their own, separate from the global default."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latency = Histogram(
            "crocusbay_request_seconds",
            "Time from a request to its answer",
            ["deployment", "kind"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.coverage = Histogram(
            "crocusbay_coverage_ratio",
            "Share of documents that a search answered",
            ["deployment"],
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.verdicts = self._counter(
            "crocusbay_verdicts", "Requests by verdict", "deployment", "kind", "verdict"
        )
        self.sub_requests = self._counter(
            "crocusbay_sub_requests",
            "Requests to upstreams by reason; needed is the least there could be",
            "deployment",
            "reason",
        )
        self.attempts_failed = self._counter(
            "crocusbay_attempts_failed", "Failed attempts", "deployment", "cause"
        )
        self.bad_requests = self._counter(
            "crocusbay_bad_requests", "Requests refused as invalid", "field"
        )
        self.bad_messages = self._counter(
            "crocusbay_bad_peer_messages", "Peer messages that were malformed"
        )
        self.unexpected_errors = self._counter(
            "crocusbay_unexpected_errors",
            "Errors that ended a task, a message or a timer",
            "task",
        )
        self.peer_bytes = self._counter(
            "crocusbay_peer_bytes", "Bytes of messages sent to other hosts"
        )
        self.platform_calls = self._counter(
            "crocusbay_platform_calls", "Calls to the platform", "call", "result"
        )
        self.members = Gauge(
            "crocusbay_members", "Hosts that this host hears", registry=self.registry
        )
        self.revision = Gauge(
            "crocusbay_revision", "Store revision in force", registry=self.registry
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, list(labels), registry=self.registry)
