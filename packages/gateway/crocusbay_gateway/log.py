"""Structured JSON log with limited rate and non-blocking writes."""

import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

# Maximum lines per second by level, higher for failures, since they matter more than
# successes when not all can be written. The total is about 30 KB per second.
MAX_LINES_PER_SECOND_BY_LEVEL = {"info": 40.0, "warning": 60.0, "error": 60.0}
MAX_BUFFERED_BYTES = 256 * 1024
DROP_REPORT_INTERVAL_SECONDS = 5.0

_encoder = msgspec.json.Encoder()


class _RateLimiter:
    """Limit the lines of one level to a rate, as a token bucket."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._refilled_at = 0.0

    def try_acquire(self, now: float) -> bool:
        self._tokens = min(
            self._rate, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class EventLog:
    """Write one JSON line per event to a file descriptor without blocking."""

    def __init__(
        self,
        host: str,
        descriptor: int = 1,
        now: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.dropped_lines = 0
        self._host = host
        self._descriptor = descriptor
        self._now = now
        self._wall_clock = wall_clock
        self._buffer = b""
        self._drops_reported_at = now()
        self._limiter_by_level = {
            level: _RateLimiter(rate)
            for level, rate in MAX_LINES_PER_SECOND_BY_LEVEL.items()
        }
        os.set_blocking(descriptor, False)

    def info(self, event: str, **fields: Any) -> None:
        """Log a normal event."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log a refusal, a failure or the loss of a dependency."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an internal error of this program."""
        self._write("error", event, fields)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                self._buffer = b""
                return
            self._buffer = self._buffer[written:]

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        now = self._now()
        if not self._limiter_by_level[level].try_acquire(now):
            self.dropped_lines += 1
            return
        if (
            self.dropped_lines
            and now - self._drops_reported_at > DROP_REPORT_INTERVAL_SECONDS
        ):
            self._append(level, "lines-left-out", {"lines": self.dropped_lines})
            self.dropped_lines = 0
            self._drops_reported_at = now
        self._append(level, event, fields)
        self.flush()

    def _append(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        line = {
            "time": round(self._wall_clock(), 3),
            "level": level,
            "host": self._host,
            "event": event,
            **fields,
        }
        self._buffer += _encode(line) + b"\n"


def _encode(line: dict[str, Any]) -> bytes:
    """Return an encoded line; values that JSON can't hold are written as text."""
    try:
        return _encoder.encode(line)
    except (OverflowError, TypeError, ValueError):
        return _encoder.encode({key: ascii(value) for key, value in line.items()})
