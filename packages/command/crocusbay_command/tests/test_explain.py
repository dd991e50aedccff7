import json

import pytest
from click.testing import CliRunner

from crocusbay_command.main import EXIT_REFUSED, main


def log_line(time, host, event, **fields):
    return json.dumps({"time": time, "host": host, "event": event, **fields})


LOG = "\n".join(
    [
        log_line(90.0, "h1", "store-lost", reason="long before"),
        log_line(99.0, "h1", "host-lost", peer="h2"),
        log_line(99.5, "h3", "host-lost", peer="h2"),
        "not a log line",
        '{"time": 99.6}',
        "  12.5 h1 " + log_line(100.2, "h1", "request", request="a1", status=502),
        log_line(100.1, "h1", "attempt-failed", request="a1", cause="reset"),
        log_line(100.15, "h1", "request", request="a2", status=200),
        log_line(101.0, "h1", "store-lost", reason="after"),
    ]
)


def test_explain_shows_the_request_and_earlier_events_of_its_host(tmp_path):
    log = tmp_path / "hosts.log"
    log.write_text(LOG)
    result = CliRunner().invoke(main, ["explain", "a1", str(log)])
    assert result.exit_code == 0
    assert result.output.splitlines() == [
        "Before, on its hosts:",
        "  99.000 h1 host-lost peer=h2",
        "The request:",
        "  100.100 h1 attempt-failed cause=reset",
        "  100.200 h1 request status=502",
    ]


@pytest.mark.parametrize("text", ["", "nonsense\n", LOG])
def test_request_id_absent_from_the_logs_is_an_error(text):
    result = CliRunner().invoke(main, ["explain", "a9", "-"], input=text)
    assert result.exit_code == EXIT_REFUSED
    assert "a9" in result.output
