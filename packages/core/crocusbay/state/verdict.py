"""Verdicts: whether a request ran, did not run, or may have run."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Cause(StrEnum):
    """Name the reason why a request got no usable response."""

    CANCELLED = "cancelled"
    CONNECT_FAILED = "connect-failed"
    RESPONSE_MISMATCH = "crossed"
    DEADLINE = "deadline"
    DRAINING = "draining"
    HOST_LEAVING = "host-leaving"
    IN_PROGRESS = "in-progress"
    LEAVING = "leaving"
    NO_CONNECTION = "no-connection"
    NO_INDEX = "no-index"
    NO_UPSTREAM = "no-upstream"
    OVERLOAD = "overload"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    PROTOCOL = "protocol"
    QUARANTINED = "quarantined"
    RESET = "reset"
    SERVER_LIMIT = "server-limit"
    SHED = "shed"
    SILENT = "silent"
    WRONG_SNAPSHOT = "wrong-snapshot"


@dataclass(frozen=True, slots=True)
class Ran:
    """Report a request that ran, with its response or result."""

    response: Any

    @property
    def has_run(self) -> bool | None:
        """Return whether the request ran."""
        return True


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report a request that did not run; retry it after `retry_after` seconds."""

    cause: Cause
    retry_after: float = 0.0
    detail: str = ""

    @property
    def has_run(self) -> bool | None:
        """Return whether the request ran."""
        return False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Report a request that may or may not have run; `retry_after` is in seconds."""

    cause: Cause
    retry_after: float = 0.0
    detail: str = ""

    @property
    def has_run(self) -> bool | None:
        """Return None: whether the request ran is unknown."""
        return None


Verdict = Ran | NotRun | MayHaveRun
