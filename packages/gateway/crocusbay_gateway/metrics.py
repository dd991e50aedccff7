"""Metrics of one gateway process."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)
SHARE_BUCKETS = (0.0, 0.5, 0.75, 0.85, 0.9, 0.95, 0.99, 1.0)


class GatewayMetrics:
    """Hold the metrics in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latency = Histogram(
            "crocusbay_gateway_request_seconds",
            "Time from a request's last byte to its reply",
            ["route", "outcome"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.share = Histogram(
            "crocusbay_gateway_shard_share",
            "Share of the shards in gathered answers",
            ["route"],
            buckets=SHARE_BUCKETS,
            registry=self.registry,
        )
        self.attempts = self._counter(
            "crocusbay_gateway_attempts",
            "Requests sent to servers: first, hedge or retry",
            "reason",
        )
        self.attempt_failures = self._counter(
            "crocusbay_gateway_attempt_failures", "Failed attempts", "cause"
        )
        self.store_calls = self._counter(
            "crocusbay_gateway_store_calls", "Calls to the store", "call", "result"
        )
        self.members = Gauge(
            "crocusbay_gateway_members", "Hosts heard", registry=self.registry
        )
        self.view_age = Gauge(
            "crocusbay_gateway_view_age_seconds",
            "Time since the store confirmed a view",
            ["view"],
            registry=self.registry,
        )
        self.running = Gauge(
            "crocusbay_gateway_running", "Requests being served", registry=self.registry
        )

    def text(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, list(labels), registry=self.registry)
