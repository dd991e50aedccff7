import json
import os

import pytest

from crocusbay_gateway.log import (
    MAX_BUFFERED_BYTES,
    MAX_LINES_PER_SECOND_BY_LEVEL,
    EventLog,
)


class ManualClock:
    def __init__(self):
        self.seconds = 100.0

    def __call__(self):
        return self.seconds


def open_log():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    clock = ManualClock()
    return EventLog("host-1", write_end, clock), read_end, clock


def read_available(read_end):
    data = b""
    try:
        while chunk := os.read(read_end, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return data


def read_lines(read_end):
    return [json.loads(line) for line in read_available(read_end).splitlines()]


def test_line_contains_host_event_level_and_fields():
    log, read_end, _ = open_log()
    log.warning("request", request="a1", status=503)
    (line,) = read_lines(read_end)
    assert (line["host"], line["event"], line["level"]) == (
        "host-1",
        "request",
        "warning",
    )
    assert (line["request"], line["status"]) == ("a1", 503)


def test_rate_is_limited_and_dropped_lines_are_counted():
    log, read_end, clock = open_log()
    for _ in range(1_000):
        log.info("request")
    written = len(read_lines(read_end))
    assert written <= MAX_LINES_PER_SECOND_BY_LEVEL["info"]
    assert log.dropped_lines == 1_000 - written
    # Warnings have a rate limit of their own.
    log.warning("request")
    assert read_lines(read_end)
    clock.seconds += 10.0
    log.info("request")
    drop_reports = [
        line for line in read_lines(read_end) if line["event"] == "lines-left-out"
    ]
    assert drop_reports[0]["lines"] == 1_000 - written


def test_full_pipe_does_not_block_the_log():
    log, read_end, clock = open_log()
    for _ in range(2_000):
        clock.seconds += 1.0
        log.info("request", detail="x" * 1_000)
    assert log.dropped_lines > 0
    assert len(log._buffer) <= MAX_BUFFERED_BYTES + 2_000
    # When reading resumes, only complete lines arrive.
    data = read_available(read_end)
    while len(log._buffer):
        log.flush()
        data += read_available(read_end)
    assert all(json.loads(line) for line in data.splitlines())


def test_closed_reader_raises_no_error():
    log, read_end, _ = open_log()
    os.close(read_end)
    log.info("request")
    log.info("request")


@pytest.mark.parametrize("value", ["\ud800", 10**400, object(), {1: "a"}])
def test_value_that_json_cannot_hold_is_written_as_text(value):
    log, read_end, _ = open_log()
    log.error("unexpected-error", reason=value)
    (line,) = read_lines(read_end)
    assert line["event"].strip("'") == "unexpected-error"
    assert line["reason"]
