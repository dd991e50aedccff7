"""Extraction of the log lines about one request from the logs of all hosts."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from crocusbay.protocol import from_json

# Events that belong to no request, such as state changes of a host, are included from
# this long before its first line, except those of servers that it did not use.
CONTEXT_WINDOW_SECONDS = 5.0
# Not listed among the fields of a line: the first three start each printed line.
_FIXED_KEYS = ("time", "host", "event", "level", "request")


@dataclass(frozen=True)
class LogLine:
    """Line of a host log; `time` is in Unix seconds."""

    time: float
    host: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time:.3f} {self.host} {self.event} {fields}".rstrip()


@dataclass(frozen=True)
class RequestTrace:
    """Log lines of a request, and related earlier events of its hosts."""

    lines: tuple[LogLine, ...] = ()
    context: tuple[LogLine, ...] = ()


def parse_log_line(text: str) -> tuple[LogLine, str] | None:
    """Return a log line and its request id, or None if the text is not a log line.

    Text before the first brace, such as a log collector's timestamp, is skipped.

    >>> text = '{"time": 1, "host": "h", "event": "e", "ms": 2}'
    >>> line, request = parse_log_line(text)
    >>> str(line), request
    ('1.000 h e ms=2', '')
    """
    decoded = from_json(text[max(0, text.find("{")) :], dict)
    if decoded.is_error():
        return None
    record = decoded.ok
    if not {"time", "host", "event"} <= record.keys():
        return None
    fields = {key: value for key, value in record.items() if key not in _FIXED_KEYS}
    line = LogLine(record["time"], record["host"], record["event"], fields)
    return line, str(record.get("request", ""))


def trace_request(texts: Iterable[str], request: str) -> RequestTrace:
    """Return the lines of one request, and its context, from the logs of all hosts."""
    request_lines: list[LogLine] = []
    general_lines: list[LogLine] = []
    for text in texts:
        parsed = parse_log_line(text)
        if parsed is None:
            continue
        line, line_request = parsed
        if line_request == request:
            request_lines.append(line)
        elif not line_request:
            general_lines.append(line)
    if not request_lines:
        return RequestTrace()
    request_lines.sort(key=lambda line: line.time)
    hosts = {line.host for line in request_lines}
    start, end = (
        request_lines[0].time - CONTEXT_WINDOW_SECONDS,
        request_lines[-1].time,
    )
    servers = {line.fields.get("server") for line in request_lines}
    context = [
        line
        for line in general_lines
        if line.host in hosts
        and start <= line.time <= end
        and line.fields.get("server") in servers | {None}
    ]
    return RequestTrace(
        tuple(request_lines), tuple(sorted(context, key=lambda line: line.time))
    )
