"""HTTP/1.1 encoding of requests to servers and replies to callers."""

import math
from http import HTTPStatus

from crocusbay_gateway.protocol.http_conventions import HttpConventions
from crocusbay_gateway.state import CallerRequest, Reply
from crocusbay_gateway.state.request import Headers

# Headers that apply to a single connection, or that the gateway sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})
_BODILESS_STATUSES = frozenset({204, 304})
_REASONS = {int(status): status.phrase.encode() for status in HTTPStatus}


def forwardable_headers(
    headers: list[tuple[bytes, bytes]], drop: frozenset[bytes]
) -> Headers:
    """Return the headers without hop-by-hop ones and those in `drop`."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    excluded = HOP_BY_HOP_HEADERS | drop | connection_options
    return tuple(pair for pair in headers if pair[0].lower() not in excluded)


def encode_server_request(
    request: CallerRequest,
    conventions: HttpConventions,
    server: str,
    remaining_time: float,
) -> bytes:
    """Return the encoded request, with the remaining time as its deadline (seconds)."""
    lines = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % pair for pair in request.headers]
    lines.append(
        b"%b: %d\r\n%b: %b\r\n"
        % (
            conventions.deadline_ms,
            max(1, int(remaining_time * 1000)),
            conventions.expected_server,
            server.encode("latin-1"),
        )
    )
    if request.body or request.method not in _BODILESS_METHODS:
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)


def encode_reply(
    reply: Reply, *, is_head: bool = False, is_last: bool = False
) -> bytes:
    """Return the encoded reply; `is_last` adds `Connection: close`."""
    reason = reply.reason or _REASONS.get(reply.status, b"")
    lines = [b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)]
    lines += [b"%b: %b\r\n" % pair for pair in reply.headers]
    if reply.retry_after is not None:
        seconds = math.ceil(reply.retry_after * 1000) / 1000
        lines.append(b"Retry-After: %.3f\r\n" % seconds)
    if reply.status not in _BODILESS_STATUSES:
        lines.append(b"Content-Length: %d\r\n" % len(reply.body))
    if is_last:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not is_head and reply.status not in _BODILESS_STATUSES:
        lines.append(reply.body)
    return b"".join(lines)
