"""ASGI application for the HTTP and control API of a simulated service."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from crocusbay.protocol import to_json
from crocusbay.protocol.upstream import CLOCK_HEADER
from crocusbay.state import HybridClock, parse_stamp


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Represent one HTTP request to a simulated service."""

    method: str
    path: str
    query: dict[str, list[str]]
    header_by_name: dict[str, str]
    body: bytes

    def query_value(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter, or the default."""
        return self.query.get(name, [default])[0]


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Represent one HTTP response; the value is sent as JSON."""

    status: int
    value: Any = None


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def make_app(handle: HttpHandler, clock: HybridClock) -> Callable:
    """Return an ASGI application that sends the handler's responses as JSON."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        headers = {k.decode(): v.decode("latin-1") for k, v in scope["headers"]}
        clock.observe(parse_stamp(headers.get(CLOCK_HEADER, "")))
        query = parse_qs(scope["query_string"].decode())
        request = HttpRequest(scope["method"], scope["path"], query, headers, body)
        response = await handle(request)
        data = to_json(response.value)
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", str(len(data)).encode()),
                    (CLOCK_HEADER.encode(), str(clock.now()).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": data})

    return app
