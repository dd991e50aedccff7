"""Requests from callers, responses from servers, and replies to callers."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Describe a parsed request; times are on the monotonic clock (seconds).

    `target` is the request target with its query, `host` is the name in the Host header
    without the port, and `headers` are the headers to forward. `deadline` is when the
    caller stops waiting, or None if the request had no deadline header.
    """

    attempt_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    received_at: float
    deadline: float | None
    caller_ip: str

    @property
    def path(self) -> str:
        """Return the request target without the query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """Contain what a server states of itself in the head of any response.

    `limit` and `rest` are header values, empty if the server states none: the requests
    per second that it takes from all hosts together, and the time for which it wants
    none from this host (seconds), in a rejection only.
    """

    limit: bytes = b""
    rest: bytes = b""
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Describe a complete response; `signature` proves which server executed it."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    signature: bytes = b""

    @property
    def is_success(self) -> bool:
        """Return whether the response has a 2xx status."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class Reply:
    """Describe the reply to a caller (seconds).

    `outcome` describes the result in logs and metrics.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    retry_after: float | None = None
    reason: bytes = b""
    outcome: str = ""
