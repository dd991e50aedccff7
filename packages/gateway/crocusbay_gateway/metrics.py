"""Metrics of one gateway process.

Values are collected here and formatted by prometheus_client, which is imported at the
first scrape: it takes 4 MB, and most hosts are never scraped.
"""

from bisect import bisect_left
from collections.abc import Iterator

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


class LabelledValue:
    """Store the value of a counter or gauge for each combination of label values."""

    def __init__(self, name: str, help_text: str, *labels: str) -> None:
        self.name = name
        self.help_text = help_text
        self.labels = labels
        self.by_labels: dict[tuple[str, ...], float] = {}

    def inc(self, *labels: str) -> None:
        """Increment a counter by one."""
        self.add(1.0, *labels)

    def add(self, amount: float, *labels: str) -> None:
        """Increment a counter by an amount."""
        self.by_labels[labels] = self.by_labels.get(labels, 0.0) + amount

    def set(self, value: float, *labels: str) -> None:
        """Set the value of a gauge."""
        self.by_labels[labels] = value


class Histogram:
    """Store the bucket counts and the sum of samples for each combination of labels."""

    def __init__(
        self, name: str, help_text: str, bounds: tuple[float, ...], *labels: str
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.bounds = bounds
        self.labels = labels
        self.by_labels: dict[tuple[str, ...], list[float]] = {}

    def observe(self, value: float, *labels: str) -> None:
        """Record a sample."""
        counts = self.by_labels.get(labels)
        if counts is None:
            counts = self.by_labels[labels] = [0.0] * (len(self.bounds) + 2)
        counts[bisect_left(self.bounds, value)] += 1.0
        counts[-1] += value

    def buckets(self, counts: list[float]) -> Iterator[tuple[str, float]]:
        """Yield each upper bound and the cumulative count of samples up to it.

        >>> histogram = Histogram("d", "", (1.0, 2.0))
        >>> histogram.observe(1.5)
        >>> list(histogram.buckets(histogram.by_labels[()]))
        [('1.0', 0.0), ('2.0', 1.0), ('+Inf', 1.0)]
        """
        total = 0.0
        bounds = (*map(str, self.bounds), "+Inf")
        for bound, count in zip(bounds, counts[:-1], strict=True):
            total += count
            yield bound, total


class GatewayMetrics:
    """Define the metrics of a gateway process."""

    def __init__(self) -> None:
        self.latency = Histogram(
            "crocusbay_gateway_request_seconds",
            "Time from a request's last byte to its reply",
            LATENCY_BUCKETS_SECONDS,
            "route",
            "outcome",
        )
        self.shard_share = Histogram(
            "crocusbay_gateway_shard_share",
            "Share of the shards in gathered answers",
            SHARE_BUCKETS,
            "route",
        )
        self.attempts = LabelledValue(
            "crocusbay_gateway_attempts",
            "Requests sent to servers: first, hedge or retry",
            "reason",
        )
        self.limited_attempts = LabelledValue(
            "crocusbay_gateway_limited_attempts",
            "Requests sent to servers that state a limit: first, hedge, retry, relayed",
            "reason",
        )
        self.unwanted_attempts = LabelledValue(
            "crocusbay_gateway_unwanted_attempts",
            "Requests sent to servers that had stated that they leave or want none",
            "statement",
            "reason",
        )
        self.attempt_failures = LabelledValue(
            "crocusbay_gateway_attempt_failures", "Failed attempts", "cause"
        )
        self.server_crashes = LabelledValue(
            "crocusbay_gateway_server_crashes",
            "Server crashes attributed to a request, by who observed them",
            "source",
        )
        self.quarantines = LabelledValue(
            "crocusbay_gateway_quarantines",
            "Requests quarantined, by who observed the last crash",
            "source",
        )
        self.store_calls = LabelledValue(
            "crocusbay_gateway_store_calls", "Calls to the store", "call", "result"
        )
        self.remote_bytes = LabelledValue(
            "crocusbay_gateway_remote_bytes",
            "Bytes to and from servers of other data centres, and to hosts there",
            "purpose",
        )
        self.unexpected_errors = LabelledValue(
            "crocusbay_gateway_unexpected_errors",
            "Errors that ended a task, a message or a callback",
            "task",
        )
        self.ignored_objects = LabelledValue(
            "crocusbay_gateway_ignored_objects",
            "Revisions of objects in the store that can't be used",
            "kind",
        )
        self.members = LabelledValue("crocusbay_gateway_members", "Hosts heard")
        self.view_age = LabelledValue(
            "crocusbay_gateway_view_age_seconds",
            "Time since the store confirmed a view",
            "view",
        )
        self.store_era = LabelledValue(
            "crocusbay_gateway_store_era",
            "Era of the store, which rises with each restore from an older copy",
        )
        self.server_silence = LabelledValue(
            "crocusbay_gateway_server_silence_seconds",
            "Time since any server responded to this host itself",
        )
        self.running = LabelledValue(
            "crocusbay_gateway_running", "Requests being served"
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator:
        """Yield metric families, as prometheus_client collectors do."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for metric, family_class in (
            (self.attempts, CounterMetricFamily),
            (self.limited_attempts, CounterMetricFamily),
            (self.unwanted_attempts, CounterMetricFamily),
            (self.attempt_failures, CounterMetricFamily),
            (self.server_crashes, CounterMetricFamily),
            (self.quarantines, CounterMetricFamily),
            (self.store_calls, CounterMetricFamily),
            (self.remote_bytes, CounterMetricFamily),
            (self.unexpected_errors, CounterMetricFamily),
            (self.ignored_objects, CounterMetricFamily),
            (self.members, GaugeMetricFamily),
            (self.view_age, GaugeMetricFamily),
            (self.store_era, GaugeMetricFamily),
            (self.server_silence, GaugeMetricFamily),
            (self.running, GaugeMetricFamily),
        ):
            family = family_class(metric.name, metric.help_text, labels=metric.labels)
            for labels, value in metric.by_labels.items():
                family.add_metric(labels, value)
            yield family
        for histogram in (self.latency, self.shard_share):
            family = HistogramMetricFamily(
                histogram.name, histogram.help_text, labels=histogram.labels
            )
            for labels, counts in histogram.by_labels.items():
                family.add_metric(labels, list(histogram.buckets(counts)), counts[-1])
            yield family
