"""Report of a load test: results for callers and resource use of the processes."""

import json
import os
import re
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from crocusbay.state import ServiceKind
from crocusbay_standins.local_cluster import (
    ChildProcess,
    LocalCluster,
    LocalClusterConfig,
)

MAX_LATENCY_US = 60_000_000
_SUB_REQUESTS = re.compile(
    r'^crocusbay_sub_requests_total\{.*reason="(\w+)"\} (\S+)$', re.MULTILINE
)


@dataclass
class CallerResults:
    """Accumulate the responses that callers receive."""

    latency_by_kind: dict[str, HdrHistogram] = field(default_factory=dict)
    verdicts: Counter[str] = field(default_factory=Counter)
    missing_by_cause: Counter[str] = field(default_factory=Counter)
    coverage_sum: float = 0.0
    coverage_least: float = 1.0
    search_count: int = 0
    complete: int = 0

    def record(self, kind: str, seconds: float, status: int, body: dict) -> None:
        """Record one response and its latency in seconds."""
        histogram = self.latency_by_kind.setdefault(
            kind, HdrHistogram(1, MAX_LATENCY_US, 3)
        )
        histogram.record_value(max(1, int(seconds * 1e6)))
        verdict = body.get("verdict") or ("ran" if status == 200 else f"http-{status}")
        cause = body.get("cause")
        self.verdicts[f"{kind} {verdict}{f' {cause}' if cause else ''}"] += 1
        if kind == ServiceKind.SEARCH and status == 200:
            self.search_count += 1
            self.complete += body["is_complete"]
            self.coverage_sum += body["coverage_ratio"]
            for missing in body["coverage"]["missing"]:
                self.missing_by_cause[missing["cause"]] += 1
            self.coverage_least = min(self.coverage_least, body["coverage_ratio"])


def read_cpu_seconds(child: ChildProcess) -> float:
    """Return the CPU time used by a process in seconds."""
    fields = Path(f"/proc/{child.process.pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(ticks) for ticks in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_sub_requests(cluster: LocalCluster) -> Counter[str]:
    """Return the number of requests that the hosts sent upstream, by reason."""
    total: Counter[str] = Counter()
    for name in cluster.host_by_name:
        text = cluster.http.get(f"{cluster.host_url(name)}/metrics").text
        for reason, value in _SUB_REQUESTS.findall(text):
            total[reason] += int(float(value))
    return total


@dataclass(frozen=True)
class Usage:
    """Represent the CPU time in seconds and the sub-requests since start-up."""

    host_cpu_seconds: float
    upstream_cpu_seconds: float
    sub_requests: Counter


def read_usage(cluster: LocalCluster) -> Usage:
    """Return the resource use of hosts and upstream processes since start-up."""
    return Usage(
        sum(read_cpu_seconds(p) for p in cluster.host_by_name.values()),
        sum(read_cpu_seconds(p) for p in cluster.upstreams),
        read_sub_requests(cluster),
    )


@dataclass(frozen=True)
class RunConfig:
    """Configure one run: requests per second, seconds, seed and injected fault."""

    rate: float
    seconds: float
    seed: int
    trouble: str


@dataclass(frozen=True)
class Report:
    """Represent the results of one run; shares are between 0 and 1."""

    deployment: str
    hosts: int
    rate: float
    seconds: float
    seed: int
    trouble: str
    latency_ms: dict[str, dict[str, float]]
    verdicts: dict[str, int]
    coverage_mean: float
    coverage_least: float
    complete_share: float
    missing_by_cause: dict[str, int]
    sub_requests: dict[str, int]
    extra_load: float
    host_cpu_us_per_sub_request: float
    upstream_cpu_us_per_sub_request: float


def make_report(
    config: LocalClusterConfig,
    run: RunConfig,
    results: CallerResults,
    before: Usage,
    after: Usage,
) -> Report:
    """Return the report of a run from its results and the usage around it."""
    sent = after.sub_requests - before.sub_requests
    without_cancels = sum(
        sent[reason] for reason in ("primary", "retry", "hedge", "canary")
    )
    total = max(1, without_cancels + sent["cancel"])
    searches = max(1, results.search_count)
    return Report(
        deployment=config.deployment.name,
        hosts=config.hosts,
        rate=run.rate,
        seconds=run.seconds,
        seed=run.seed,
        trouble=run.trouble,
        latency_ms={
            kind: {
                f"p{percent:g}": round(h.get_value_at_percentile(percent) / 1000, 2)
                for percent in (50, 99, 99.9)
            }
            for kind, h in sorted(results.latency_by_kind.items())
        },
        verdicts=dict(sorted(results.verdicts.items())),
        coverage_mean=round(results.coverage_sum / searches, 5),
        coverage_least=round(results.coverage_least, 5),
        complete_share=round(results.complete / searches, 5),
        missing_by_cause=dict(results.missing_by_cause),
        sub_requests=dict(sent),
        extra_load=round(without_cancels / max(1, sent["needed"]) - 1, 4),
        host_cpu_us_per_sub_request=round(
            (after.host_cpu_seconds - before.host_cpu_seconds) / total * 1e6, 1
        ),
        upstream_cpu_us_per_sub_request=round(
            (after.upstream_cpu_seconds - before.upstream_cpu_seconds) / total * 1e6, 1
        ),
    )


def format_report(report: Report) -> str:
    """Return the report as a text table of two columns."""
    rows = [
        ("deployment", f"{report.deployment}, {report.hosts} hosts"),
        ("rate, seconds, seed", f"{report.rate}/s, {report.seconds}, {report.seed}"),
        ("trouble", report.trouble),
    ]
    for kind, values in report.latency_ms.items():
        shown = "  ".join(f"{name} {value}" for name, value in values.items())
        rows.append((f"{kind} latency, ms", shown))
    rows += [(f"verdict {name}", str(n)) for name, n in report.verdicts.items()]
    rows += [
        ("coverage mean, least", f"{report.coverage_mean}, {report.coverage_least}"),
        ("complete answers, share", str(report.complete_share)),
        ("missing services by cause", json.dumps(report.missing_by_cause)),
        ("sub-requests", json.dumps(report.sub_requests)),
        ("extra load, share", str(report.extra_load)),
        ("host CPU per sub-request, us", str(report.host_cpu_us_per_sub_request)),
        (
            "upstream CPU per sub-request, us",
            str(report.upstream_cpu_us_per_sub_request),
        ),
    ]
    return "\n".join(f"{name:34} {value}" for name, value in rows)
