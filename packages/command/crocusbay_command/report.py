"""Draws a day from the logs of the hosts, as one page that needs nothing else."""

import datetime
import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from html import escape
from string import Template

import plotly.graph_objects as go
from plotly.subplots import make_subplots

from crocusbay_command.explain import LogLine, parse_line

# Bars of a chart: more would not be told apart on a screen.
MAX_BINS = 120
CHART_PIXELS = 260
LEAST_BIN_SECONDS = 1.0
# What changed a host's beliefs or life; the rest is in the charts or too much.
NOTED_EVENTS = frozenset(
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
<title>crocusbay day</title>
<style>
body { font: 14px sans-serif; margin: 1em; max-width: 75em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #ccc; padding: 2px 6px; text-align: left; }
</style>
<h1>A day from $since</h1>
<p>$requests requests at $hosts hosts in $seconds s. $left_out</p>
<h2>Routes</h2>
$routes
$charts
<h2>What hosts came to believe</h2>
$events
</html>
"""
)


class NoRequestsError(ValueError):
    """Report logs without a request."""


@dataclass(frozen=True)
class Day:
    """Hold the lines of a day, and how it is divided (Unix seconds)."""

    requests: tuple[LogLine, ...]
    noted: tuple[LogLine, ...]
    left_out: int
    since: float
    until: float

    @property
    def bin_seconds(self) -> float:
        """Return the time that one bar stands for."""
        return max(LEAST_BIN_SECONDS, (self.until - self.since) / MAX_BINS)

    @property
    def bins(self) -> int:
        """Return the number of bars."""
        return 1 + int((self.until - self.since) / self.bin_seconds)

    def bin_of(self, line: LogLine) -> int:
        """Return the bar that a line belongs to."""
        return int((line.time - self.since) / self.bin_seconds)


def read_day(texts: Iterable[str]) -> Day:
    """Return the day that logs tell of; raise NoRequestsError if there is none."""
    lines = [parsed[0] for text in texts if (parsed := parse_line(text)) is not None]
    requests = [line for line in lines if line.event in ("request", "caller-left")]
    if not requests:
        raise NoRequestsError("no line tells of a request")
    noted = [line for line in lines if line.event in NOTED_EVENTS]
    times = [line.time for line in (*requests, *noted)]
    left_out = sum(
        line.fields.get("lines", 0) for line in lines if line.event == "lines-left-out"
    )
    return Day(
        tuple(requests),
        tuple(sorted(noted, key=lambda line: line.time)),
        left_out,
        min(times),
        max(times),
    )


def outcome_of(line: LogLine) -> str:
    """Return how a request ended, as one of OUTCOMES.

    >>> outcome_of(LogLine(1.0, "h", "request", {"status": 503, "outcome": "not-run"}))
    'refused'
    """
    if line.event == "caller-left":
        return "caller-left"
    outcome = str(line.fields.get("outcome", ""))
    if outcome in ("complete", "partial"):
        return outcome
    return "refused" if outcome.startswith(("not-run", "no-route")) else "failed"


def render_day(day: Day) -> str:
    """Return the page."""
    left_out = ""
    if day.left_out:
        left_out = f"Hosts left out {day.left_out} lines, successes first."
    return _PAGE.substitute(
        since=_clock(day.since),
        requests=len(day.requests),
        hosts=len({line.host for line in day.requests}),
        seconds=f"{day.until - day.since:.0f}",
        left_out=left_out,
        routes=_routes_table(day),
        charts=_charts(day),
        events=_table(
            ("time", "host", "event", "what"),
            [
                (_clock(line.time), line.host, line.event, _named(line))
                for line in day.noted
            ],
        ),
    )


def _charts(day: Day) -> str:
    """Return the charts, one below the other with one axis of time."""
    by_bin = _by_bin(day, day.requests)
    served = [
        [line for line in lines if outcome_of(line) in ("complete", "partial")]
        for lines in by_bin
    ]
    outcomes = [Counter(map(outcome_of, lines)) for lines in by_bin]
    hosts = sorted({line.host for line in (*day.requests, *day.noted)})
    per_host = [Counter(line.host for line in lines) for lines in by_bin]
    charts = {
        "Requests by outcome": [
            go.Bar(name=name, y=[counts[name] for counts in outcomes])
            for name in OUTCOMES
        ],
        "Latency of served requests, ms": [
            go.Scatter(name="median", y=_per_bin(served, "ms", statistics.median)),
            go.Scatter(name="99th percentile", y=_per_bin(served, "ms", _p99)),
        ],
        "Coverage: parts in gathered answers, per cent": [
            go.Scatter(name="mean", y=list(map(_coverage, served)))
        ],
        "Age of what the store last confirmed, ms (highest)": [
            go.Scatter(name=name, y=_per_bin(by_bin, field, max))
            for name, field in (
                ("configuration", "view_age_ms"),
                ("servers", "servers_age_ms"),
            )
        ],
        "Requests by host": [
            go.Bar(name=host, y=[counts[host] for counts in per_host]) for host in hosts
        ],
        "Hosts that have lost the store": [
            go.Bar(name="hosts", y=_hosts_without_store(day))
        ],
    }
    figure = make_subplots(
        rows=len(charts), shared_xaxes=True, subplot_titles=list(charts)
    )
    seconds = [number * day.bin_seconds for number in range(day.bins)]
    for row, (title, traces) in enumerate(charts.items(), start=1):
        for trace in traces:
            trace.update(x=seconds, legendgroup=title, legendgrouptitle_text=title)
            figure.add_trace(trace, row=row, col=1)
    figure.update_xaxes(title_text="seconds", row=len(charts))
    figure.update_layout(barmode="stack", height=CHART_PIXELS * len(charts))
    # The script stands in the page, so that it can be read without a network.
    return figure.to_html(full_html=False, include_plotlyjs=True, div_id="charts")


def _by_bin(day: Day, lines: Iterable[LogLine]) -> list[list[LogLine]]:
    by_bin: list[list[LogLine]] = [[] for _ in range(day.bins)]
    for line in lines:
        by_bin[day.bin_of(line)].append(line)
    return by_bin


def _per_bin(
    by_bin: list[list[LogLine]], field: str, reduce: Callable[[list[float]], float]
) -> list[float | None]:
    values_by_bin = [
        [line.fields[field] for line in lines if line.fields.get(field) is not None]
        for lines in by_bin
    ]
    return [reduce(values) if values else None for values in values_by_bin]


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))]


def _coverage(lines: list[LogLine]) -> float | None:
    shares = [
        100.0 * line.fields["parts"] / line.fields["shards"]
        for line in lines
        if line.fields.get("shards")
    ]
    return statistics.fmean(shares) if shares else None


def _hosts_without_store(day: Day) -> list[int]:
    """Return for each bar how many hosts end it without the store."""
    lost: set[str] = set()
    counts = []
    for lines in _by_bin(day, day.noted):
        for line in lines:
            if line.event == "store-lost":
                lost.add(line.host)
            elif line.event in ("store-regained", "started", "stopped"):
                lost.discard(line.host)
        counts.append(len(lost))
    return counts


def _routes_table(day: Day) -> str:
    by_route: dict[str, list[LogLine]] = defaultdict(list)
    for line in day.requests:
        by_route[str(line.fields.get("route", ""))].append(line)
    rows = []
    for route, lines in sorted(by_route.items()):
        counts = Counter(map(outcome_of, lines))
        times = [line.fields["ms"] for line in lines if "ms" in line.fields]
        rows.append(
            (
                route or "none",
                *(counts[name] for name in OUTCOMES),
                f"{statistics.median(times):.1f}" if times else "",
                f"{_p99(times):.1f}" if times else "",
            )
        )
    return _table(("route", *OUTCOMES, "median ms", "99th percentile ms"), rows)


def _table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    head = "".join(f"<th>{escape(each)}</th>" for each in heads)
    body = "\n".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>\n{body}</table>"


def _named(line: LogLine) -> str:
    return " ".join(f"{key}={value}" for key, value in line.fields.items())


def _clock(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%S.%f}"[:-3]
