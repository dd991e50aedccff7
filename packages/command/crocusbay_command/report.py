"""Report of host logs as one self-contained HTML page with charts."""

import datetime
import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from html import escape
from string import Template

import plotly.graph_objects as go
from plotly.subplots import make_subplots

from crocusbay_command.explain import LogLine, parse_log_line

# More bars in a chart could not be told apart on a screen.
MAX_BINS = 120
CHART_HEIGHT_PIXELS = 260
MIN_BIN_SECONDS = 1.0
# Changes of the lifecycle of a host or of its view of the system. Other events are
# shown by the charts or too numerous to list.
LISTED_EVENTS = frozenset(
    {
        "configuration-in-force",
        "host-found",
        "host-lost",
        "leaving",
        "lines-left-out",
        "quarantined",
        "ready",
        "relay-lost",
        "settings-not-reloaded",
        "settings-reloaded",
        "started",
        "stopped",
        "store-lost",
        "store-regained",
    }
)
OUTCOMES = ("complete", "partial", "refused", "failed", "caller-left")

_PAGE = Template(
    """<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>crocusbay log report</title>
<style>
body { font: 14px sans-serif; margin: 1em; max-width: 75em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #ccc; padding: 2px 6px; text-align: left; }
</style>
<h1>Log report from $start</h1>
<p>$requests requests at $hosts hosts in $seconds s. $dropped</p>
<h2>Routes</h2>
$routes
$charts
<h2>Host events</h2>
$events
</html>
"""
)


class NoRequestsError(ValueError):
    """Report that the logs contain no request."""


@dataclass(frozen=True)
class LogReport:
    """Log lines to report, and the time range of the charts in Unix seconds."""

    requests: tuple[LogLine, ...]
    listed_events: tuple[LogLine, ...]
    dropped_lines: int
    start: float
    end: float

    @property
    def bin_seconds(self) -> float:
        """Return the width of one bar in seconds."""
        return max(MIN_BIN_SECONDS, (self.end - self.start) / MAX_BINS)

    @property
    def bin_count(self) -> int:
        """Return the number of bars."""
        return 1 + int((self.end - self.start) / self.bin_seconds)

    def bin_index(self, line: LogLine) -> int:
        """Return the index of the bar that a line belongs to."""
        return int((line.time - self.start) / self.bin_seconds)


def parse_logs(texts: Iterable[str]) -> LogReport:
    """Parse host logs; raise NoRequestsError if they contain no request."""
    lines = [
        parsed[0] for text in texts if (parsed := parse_log_line(text)) is not None
    ]
    requests = [line for line in lines if line.event in ("request", "caller-left")]
    if not requests:
        raise NoRequestsError("the logs contain no request")
    listed = [line for line in lines if line.event in LISTED_EVENTS]
    times = [line.time for line in (*requests, *listed)]
    dropped = sum(
        line.fields.get("lines", 0) for line in lines if line.event == "lines-left-out"
    )
    return LogReport(
        tuple(requests),
        tuple(sorted(listed, key=lambda line: line.time)),
        dropped,
        min(times),
        max(times),
    )


def classify_outcome(line: LogLine) -> str:
    """Return the outcome of a request, as one of OUTCOMES.

    >>> fields = {"status": 503, "outcome": "not-run"}
    >>> classify_outcome(LogLine(1.0, "h", "request", fields))
    'refused'
    """
    if line.event == "caller-left":
        return "caller-left"
    outcome = str(line.fields.get("outcome", ""))
    if outcome in ("complete", "partial"):
        return outcome
    return "refused" if outcome.startswith(("not-run", "no-route")) else "failed"


def render_report(report: LogReport) -> str:
    """Return the report as an HTML page that fetches nothing."""
    dropped = ""
    if report.dropped_lines:
        dropped = f"Hosts dropped {report.dropped_lines} log lines, successes first."
    return _PAGE.substitute(
        start=_format_time(report.start),
        requests=len(report.requests),
        hosts=len({line.host for line in report.requests}),
        seconds=f"{report.end - report.start:.0f}",
        dropped=dropped,
        routes=_render_routes(report),
        charts=_render_charts(report),
        events=_render_table(
            ("time", "host", "event", "what"),
            [
                (_format_time(line.time), line.host, line.event, _format_fields(line))
                for line in report.listed_events
            ],
        ),
    )


def _render_charts(report: LogReport) -> str:
    """Return the charts as HTML, stacked over one shared time axis."""
    by_bin = _group_by_bin(report, report.requests)
    served = [
        [line for line in lines if classify_outcome(line) in ("complete", "partial")]
        for lines in by_bin
    ]
    outcomes = [Counter(map(classify_outcome, lines)) for lines in by_bin]
    hosts = sorted({line.host for line in (*report.requests, *report.listed_events)})
    per_host = [Counter(line.host for line in lines) for lines in by_bin]
    charts = {
        "Requests by outcome": [
            go.Bar(name=name, y=[counts[name] for counts in outcomes])
            for name in OUTCOMES
        ],
        "Latency of served requests, ms": [
            go.Scatter(
                name="median", y=_aggregate_by_bin(served, "ms", statistics.median)
            ),
            go.Scatter(name="99th percentile", y=_aggregate_by_bin(served, "ms", _p99)),
        ],
        "Coverage of scatter-gather replies, percent of shards": [
            go.Scatter(name="mean", y=list(map(_mean_coverage_percent, served)))
        ],
        "Age of data last confirmed by the store, ms (maximum)": [
            go.Scatter(name=name, y=_aggregate_by_bin(by_bin, field, max))
            for name, field in (
                ("configuration", "view_age_ms"),
                ("servers", "servers_age_ms"),
            )
        ],
        "Requests by host": [
            go.Bar(name=host, y=[counts[host] for counts in per_host]) for host in hosts
        ],
        "Hosts that have lost the store connection": [
            go.Bar(name="hosts", y=_hosts_without_store(report))
        ],
    }
    figure = make_subplots(
        rows=len(charts), shared_xaxes=True, subplot_titles=list(charts)
    )
    seconds = [number * report.bin_seconds for number in range(report.bin_count)]
    for row, (title, traces) in enumerate(charts.items(), start=1):
        for trace in traces:
            trace.update(x=seconds, legendgroup=title, legendgrouptitle_text=title)
            figure.add_trace(trace, row=row, col=1)
    figure.update_xaxes(title_text="seconds", row=len(charts))
    figure.update_layout(barmode="stack", height=CHART_HEIGHT_PIXELS * len(charts))
    # The script is embedded, so that the page works without a network.
    return figure.to_html(full_html=False, include_plotlyjs=True, div_id="charts")


def _group_by_bin(report: LogReport, lines: Iterable[LogLine]) -> list[list[LogLine]]:
    by_bin: list[list[LogLine]] = [[] for _ in range(report.bin_count)]
    for line in lines:
        by_bin[report.bin_index(line)].append(line)
    return by_bin


def _aggregate_by_bin(
    by_bin: list[list[LogLine]], field: str, reduce: Callable[[list[float]], float]
) -> list[float | None]:
    values_by_bin = [
        [line.fields[field] for line in lines if line.fields.get(field) is not None]
        for lines in by_bin
    ]
    return [reduce(values) if values else None for values in values_by_bin]


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))]


def _mean_coverage_percent(lines: list[LogLine]) -> float | None:
    percentages = [
        100.0 * line.fields["parts"] / line.fields["shards"]
        for line in lines
        if line.fields.get("shards")
    ]
    return statistics.fmean(percentages) if percentages else None


def _hosts_without_store(report: LogReport) -> list[int]:
    """Return for each bar the number of hosts without the store at its end."""
    disconnected: set[str] = set()
    counts = []
    for lines in _group_by_bin(report, report.listed_events):
        for line in lines:
            if line.event == "store-lost":
                disconnected.add(line.host)
            elif line.event in ("store-regained", "started", "stopped"):
                disconnected.discard(line.host)
        counts.append(len(disconnected))
    return counts


def _render_routes(report: LogReport) -> str:
    by_route: dict[str, list[LogLine]] = defaultdict(list)
    for line in report.requests:
        by_route[str(line.fields.get("route", ""))].append(line)
    rows = []
    for route, lines in sorted(by_route.items()):
        counts = Counter(map(classify_outcome, lines))
        times = [line.fields["ms"] for line in lines if "ms" in line.fields]
        rows.append(
            (
                route or "none",
                *(counts[name] for name in OUTCOMES),
                f"{statistics.median(times):.1f}" if times else "",
                f"{_p99(times):.1f}" if times else "",
            )
        )
    return _render_table(("route", *OUTCOMES, "median ms", "99th percentile ms"), rows)


def _render_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    head = "".join(f"<th>{escape(each)}</th>" for each in headings)
    body = "\n".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>\n{body}</table>"


def _format_fields(line: LogLine) -> str:
    return " ".join(f"{key}={value}" for key, value in line.fields.items())


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%S.%f}"[:-3]
