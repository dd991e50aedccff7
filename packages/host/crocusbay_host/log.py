"""Logs: one JSON line an event, with the host's name."""

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
    """Return a handler that writes records to standard error as JSON lines."""

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
