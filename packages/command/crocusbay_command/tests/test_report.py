import json
import re

import pytest
from click.testing import CliRunner

from crocusbay_command.explain import LogLine
from crocusbay_command.main import EXIT_REFUSED, main
from crocusbay_command.report import MAX_BINS, classify_outcome, parse_logs


def log_line(time, host, event, **fields):
    return json.dumps({"time": time, "host": host, "event": event, **fields})


def request_line(time, host="h1", **fields):
    fields = {"route": "r", "status": 200, "outcome": "complete", "ms": 5.0, **fields}
    return log_line(time, host, "request", request="a", **fields)


LOG = [
    request_line(100.0),
    "not a log line",
    request_line(100.5, ms=95.0, outcome="partial", parts=3, shards=4, view_age_ms=70),
    request_line(101.2, host="h2", status=503, outcome="not-run overload"),
    log_line(101.0, "h1", "store-lost", reason="<reset>"),
    log_line(103.5, "h1", "store-regained"),
    log_line(102.0, "h2", "caller-left", request="b", route="r", ms=20.0),
    log_line(103.0, "h2", "lines-left-out", lines=7),
]


def test_report_is_complete_and_self_contained(tmp_path):
    log, page = tmp_path / "hosts.log", tmp_path / "report.html"
    log.write_text("\n".join(LOG))
    result = CliRunner().invoke(main, ["report", str(log), "--html", str(page)])
    assert result.exit_code == 0, result.output
    text = page.read_text()
    assert "4 requests at 2 hosts in 4 s. Hosts dropped 7 log lines" in text
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
def test_outcome_is_classified(event, status, outcome, expected):
    fields = {"status": status, "outcome": outcome}
    assert classify_outcome(LogLine(1.0, "h", event, fields)) == expected


def test_bar_count_is_limited_for_long_time_ranges():
    report = parse_logs([request_line(0.0), request_line(86_400.0)])
    assert report.bin_count <= MAX_BINS + 1
    assert report.bin_index(report.requests[-1]) < report.bin_count


@pytest.mark.parametrize("text", ["", "nonsense\n", log_line(1.0, "h", "started")])
def test_logs_without_requests_are_an_error(text, tmp_path):
    page = tmp_path / "report.html"
    result = CliRunner().invoke(main, ["report", "-", "--html", str(page)], input=text)
    assert result.exit_code == EXIT_REFUSED
    assert not page.exists()
