"""Requests of callers, answers of servers, and replies to callers."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request as a caller sent it; times are on the monotonic clock (seconds).

    `headers` are those to forward; `deadline` is when the caller stops waiting, or None
    if it did not say.
    """

    attempt: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    received_at: float
    deadline: float | None
    caller: str

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Hold one complete answer of a server; `signature` proves which server ran it."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    signature: bytes = b""

    @property
    def is_success(self) -> bool:
        """Return whether the server answered with what was asked."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold one final answer to a caller (seconds)."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    retry_after: float | None = None
    reason: bytes = b""
    outcome: str = ""
