import json
import os

from crocusbay_gateway.log import LINES_BY_LEVEL, MAX_UNWRITTEN_BYTES, DecisionLog


class Clock:
    def __init__(self):
        self.seconds = 100.0

    def __call__(self):
        return self.seconds


def open_log():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    clock = Clock()
    return DecisionLog("host-1", write_end, clock), read_end, clock


def read(read_end):
    data = b""
    try:
        while chunk := os.read(read_end, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return data


def lines(read_end):
    return [json.loads(line) for line in read(read_end).splitlines()]


def test_line_names_the_host_the_event_and_its_fields():
    log, read_end, _ = open_log()
    log.warning("request", request="a1", status=503)
    (line,) = lines(read_end)
    assert (line["host"], line["event"], line["level"]) == (
        "host-1",
        "request",
        "warning",
    )
    assert (line["request"], line["status"]) == ("a1", 503)


def test_volume_is_bounded_and_the_rest_is_counted():
    log, read_end, clock = open_log()
    for _ in range(1_000):
        log.info("request")
    written = len(lines(read_end))
    assert written <= LINES_BY_LEVEL["info"]
    assert log.left_out == 1_000 - written
    # Failures have an allowance of their own.
    log.warning("request")
    assert lines(read_end)
    clock.seconds += 10.0
    log.info("request")
    left_out = [line for line in lines(read_end) if line["event"] == "lines-left-out"]
    assert left_out[0]["lines"] == 1_000 - written


def test_log_that_nobody_reads_never_blocks():
    log, read_end, clock = open_log()
    for _ in range(2_000):
        clock.seconds += 1.0
        log.info("request", detail="x" * 1_000)
    assert log.left_out > 0
    assert len(log._unwritten) <= MAX_UNWRITTEN_BYTES + 2_000
    # The reader comes back: what it gets are whole lines.
    data = read(read_end)
    while len(log._unwritten):
        log.flush()
        data += read(read_end)
    assert all(json.loads(line) for line in data.splitlines())


def test_reader_that_is_gone_is_no_error():
    log, read_end, _ = open_log()
    os.close(read_end)
    log.info("request")
    log.info("request")
