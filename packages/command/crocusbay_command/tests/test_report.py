import json
import re

import pytest
from click.testing import CliRunner

from crocusbay_command.explain import LogLine
from crocusbay_command.main import EXIT_REFUSED, main
from crocusbay_command.report import MAX_BINS, outcome_of, read_day


def line(time, host, event, **fields):
    return json.dumps({"time": time, "host": host, "event": event, **fields})


def request(time, host="h1", **fields):
    fields = {"route": "r", "status": 200, "outcome": "complete", "ms": 5.0, **fields}
    return line(time, host, "request", request="a", **fields)


LOG = [
    request(100.0),
    "not a log line",
    request(100.5, ms=95.0, outcome="partial", parts=3, shards=4, view_age_ms=70),
    request(101.2, host="h2", status=503, outcome="not-run overload"),
    line(101.0, "h1", "store-lost", reason="<reset>"),
    line(103.5, "h1", "store-regained"),
    line(102.0, "h2", "caller-left", request="b", route="r", ms=20.0),
    line(103.0, "h2", "lines-left-out", lines=7),
]


def test_page_holds_the_day_and_fetches_nothing(tmp_path):
    log, page = tmp_path / "hosts.log", tmp_path / "day.html"
    log.write_text("\n".join(LOG))
    result = CliRunner().invoke(main, ["report", str(log), "--html", str(page)])
    assert result.exit_code == 0, result.output
    text = page.read_text()
    assert "4 requests at 2 hosts in 4 s. Hosts left out 7 lines" in text
    assert "<td>r</td><td>1</td><td>1</td><td>1</td><td>0</td><td>1</td>" in text
    assert "&lt;reset&gt;" in text
    assert not re.search(r"<(script|link|img)[^>]*(src|href)=", text)
    for title in ("Requests by outcome", "Latency", "Coverage", "lost the store"):
        assert title in text


@pytest.mark.parametrize(
    ("event", "status", "outcome", "expected"),
    [
        ("request", 200, "complete", "complete"),
        ("request", 200, "partial", "partial"),
        ("request", 503, "not-run overload", "refused"),
        ("request", 404, "no-route", "refused"),
        ("request", 502, "may-have-run reset", "failed"),
        ("request", 500, "server status 500", "failed"),
        ("caller-left", None, "", "caller-left"),
    ],
)
def test_outcome_is_named(event, status, outcome, expected):
    fields = {"status": status, "outcome": outcome}
    assert outcome_of(LogLine(1.0, "h", event, fields)) == expected


def test_long_day_has_no_more_bars_than_fit():
    day = read_day([request(0.0), request(86_400.0)])
    assert day.bins <= MAX_BINS + 1
    assert day.bin_of(day.requests[-1]) < day.bins


@pytest.mark.parametrize("text", ["", "nonsense\n", line(1.0, "h", "started")])
def test_logs_without_requests_are_an_error(text, tmp_path):
    page = tmp_path / "day.html"
    result = CliRunner().invoke(main, ["report", "-", "--html", str(page)], input=text)
    assert result.exit_code == EXIT_REFUSED
    assert not page.exists()
