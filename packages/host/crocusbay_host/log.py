"""Structured logging: one JSON object per line, labelled with the host name."""

import json
import sys

import logbook

from crocusbay.state import HybridClock

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


def make_handler(host: str, level: str, clock: HybridClock) -> logbook.Handler:
    """Return a handler that writes JSON lines to standard error.

    `level`, a key of LEVELS, is the lowest level written.
    """

    def format_record(record: logbook.LogRecord, handler: logbook.Handler) -> str:
        fields = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "host": host,
            "stamp": str(clock.now()),
            "event": record.message,
            **record.kwargs,
        }
        if record.exc_info:
            fields["error"] = record.formatted_exception
        return json.dumps(fields, default=str)

    handler = logbook.StreamHandler(sys.stderr, level=LEVELS[level])
    handler.formatter = format_record
    return handler
