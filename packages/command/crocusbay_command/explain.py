"""Tells a request's story from the logs of the hosts."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from crocusbay.protocol import from_json

# Changes of what a host believed, this long before the request's first line. Those of
# servers that the request did not meet are left out.
CONTEXT_SECONDS = 5.0
# Written first on each line, so not repeated among its fields.
_SHOWN = ("time", "host", "event", "level", "request")


@dataclass(frozen=True)
class LogLine:
    """Hold one line of a host's log (Unix seconds)."""

    time: float
    host: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        named = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time:.3f} {self.host} {self.event} {named}".rstrip()


@dataclass(frozen=True)
class Story:
    """Hold a request's lines, and what its hosts had come to believe before."""

    lines: tuple[LogLine, ...] = ()
    context: tuple[LogLine, ...] = ()


def parse_line(text: str) -> tuple[LogLine, str] | None:
    """Return a line and the id of its request, or None if it is no log line.

    Text before the first brace, such as a collector's own time, is passed over.

    >>> line, request = parse_line('{"time": 1, "host": "h", "event": "e", "ms": 2}')
    >>> str(line), request
    ('1.000 h e ms=2', '')
    """
    decoded = from_json(text[max(0, text.find("{")) :], dict)
    if decoded.is_error():
        return None
    record = decoded.ok
    if not {"time", "host", "event"} <= record.keys():
        return None
    fields = {key: value for key, value in record.items() if key not in _SHOWN}
    line = LogLine(record["time"], record["host"], record["event"], fields)
    return line, str(record.get("request", ""))


def tell_story(texts: Iterable[str], request: str) -> Story:
    """Return the story of one request from the lines of all hosts."""
    own: list[LogLine] = []
    others: list[LogLine] = []
    for text in texts:
        parsed = parse_line(text)
        if parsed is None:
            continue
        line, owner = parsed
        if owner == request:
            own.append(line)
        elif not owner:
            others.append(line)
    if not own:
        return Story()
    own.sort(key=lambda line: line.time)
    hosts = {line.host for line in own}
    since, until = own[0].time - CONTEXT_SECONDS, own[-1].time
    servers = {line.fields.get("server") for line in own}
    context = [
        line
        for line in others
        if line.host in hosts
        and since <= line.time <= until
        and line.fields.get("server") in servers | {None}
    ]
    return Story(tuple(own), tuple(sorted(context, key=lambda line: line.time)))
