"""Logs: one JSON line a decision, bounded in volume, never waiting for the reader."""

import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

# Lines a second for each level; a failure is worth more than a success when a choice
# must be made. The sum is some 30 KB a second.
LINES_BY_LEVEL = {"info": 40.0, "warning": 60.0, "error": 60.0}
MAX_UNWRITTEN_BYTES = 256 * 1024
REPORT_SECONDS = 5.0

_encoder = msgspec.json.Encoder()


class _Allowance:
    """Bound the lines of one level to a rate."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._filled_at = 0.0

    def take(self, now: float) -> bool:
        self._tokens = min(
            self._rate, self._tokens + (now - self._filled_at) * self._rate
        )
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Write structured lines to a file descriptor without ever blocking on it."""

    def __init__(
        self,
        host: str,
        descriptor: int = 1,
        now: Callable[[], float] = time.monotonic,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self.left_out = 0
        self._host = host
        self._descriptor = descriptor
        self._now = now
        self._time_of_day = time_of_day
        self._unwritten = b""
        self._reported_at = now()
        self._allowance_by_level = {
            level: _Allowance(rate) for level, rate in LINES_BY_LEVEL.items()
        }
        os.set_blocking(descriptor, False)

    def info(self, event: str, **fields: Any) -> None:
        """Write a decision that went well."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write a refusal, a failure or a lost dependency."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write a fault of this program."""
        self._write("error", event, fields)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        now = self._now()
        if not self._allowance_by_level[level].take(now):
            self.left_out += 1
            return
        if self.left_out and now - self._reported_at > REPORT_SECONDS:
            self._append(level, "lines-left-out", {"lines": self.left_out})
            self.left_out = 0
            self._reported_at = now
        self._append(level, event, fields)
        self.flush()

    def _append(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.left_out += 1
            return
        line = {
            "time": round(self._time_of_day(), 3),
            "level": level,
            "host": self._host,
            "event": event,
            **fields,
        }
        self._unwritten += _encoder.encode(line) + b"\n"
