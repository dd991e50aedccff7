"""Parsing and validation of caller requests received over ASGI."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from crocusbay.protocol.caller import (
    MAX_BODY_BYTES,
    MAX_DEADLINE_MS,
    MAX_ID_CHARS,
    MAX_QUERY_CHARS,
    MIN_DEADLINE_MS,
    BadRequest,
)
from crocusbay.protocol.codec import from_json

Receive = Callable[[], Awaitable[dict[str, Any]]]


class RequestError(Exception):
    """Reject a request with an HTTP status and the invalid value."""

    def __init__(self, status: int, bad_request: BadRequest) -> None:
        super().__init__(bad_request.error)
        self.status = status
        self.bad_request = bad_request


class HostNotReadyError(Exception):
    """Report that the host has not read any configuration yet."""


class CallerDisconnected(Exception):
    """Report that the caller disconnected before it got a reply."""


def invalid_value_error(
    field: str, value: str, expected: str, status: int = 400
) -> RequestError:
    """Return the error for an invalid value, cut to 100 characters."""
    error = f"{field} is not valid"
    return RequestError(status, BadRequest(error, field, value[:100], expected))


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Method, path segments, query and headers of one request."""

    method: str
    path_segments: tuple[str, ...]
    query_by_name: dict[str, str]
    header_by_name: dict[str, str]

    def query_parameter(self, name: str, limit: int = MAX_QUERY_CHARS) -> str:
        """Return a query parameter; raise RequestError if it is empty or too long."""
        value = self.query_by_name.get(name, "")
        if not 0 < len(value) <= limit:
            raise invalid_value_error(name, value, f"1 to {limit} characters")
        return value

    def deadline_seconds(self, default: float) -> float:
        """Return the deadline in seconds; raise RequestError if it is out of bounds."""
        text = self.query_by_name.get("deadline_ms")
        if text is None:
            return default
        if not text.isdecimal() or len(text) > 9:
            raise invalid_value_error("deadline_ms", text, _DEADLINE_EXPECTED)
        if not MIN_DEADLINE_MS <= int(text) <= MAX_DEADLINE_MS:
            raise invalid_value_error("deadline_ms", text, _DEADLINE_EXPECTED)
        return int(text) / 1000


_DEADLINE_EXPECTED = f"milliseconds from {MIN_DEADLINE_MS} to {MAX_DEADLINE_MS}"


def read_request(scope: dict[str, Any]) -> CallerRequest:
    """Parse an ASGI scope; raise RequestError if its query string is malformed."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    path = raw_path.split(b"?")[0].decode("latin-1")
    try:
        query = parse_qs(
            scope["query_string"].decode("ascii"),
            keep_blank_values=True,
            max_num_fields=20,
            errors="strict",
        )
    except ValueError:
        raise invalid_value_error(
            "query string", "", "at most 20 fields, in UTF-8"
        ) from None
    return CallerRequest(
        scope["method"],
        tuple(unquote(segment) for segment in path.split("/")[1:]),
        {name: values[-1] for name, values in query.items()},
        {k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]},
    )


def check_id(field: str, value: str) -> str:
    """Return the id; raise RequestError if its length or characters are invalid."""
    is_plain = all(c.isalnum() or c in "-_.:" for c in value)
    if not (0 < len(value) <= MAX_ID_CHARS and is_plain):
        expected = f"1 to {MAX_ID_CHARS} letters, digits or -_.:"
        raise invalid_value_error(field, value, expected)
    return value


async def read_body(receive: Receive) -> bytes:
    """Return the body.

    Raise RequestError if it exceeds MAX_BODY_BYTES, and CallerDisconnected if the
    caller disconnects.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])
        if size > MAX_BODY_BYTES:
            expected = f"at most {MAX_BODY_BYTES} bytes"
            raise invalid_value_error(
                "body", f"over {MAX_BODY_BYTES} bytes", expected, 413
            )
        if not message.get("more_body"):
            return b"".join(chunks)


def check_json(body: bytes) -> bytes:
    """Return the body unchanged; raise RequestError if it is not JSON."""
    decoded = from_json(body, Any)
    if decoded.is_error():
        excerpt = body[:50].decode("utf-8", "replace")
        raise invalid_value_error("body", excerpt, f"JSON ({decoded.error})")
    return body
