"""A response that a server did not send to its end is never taken for a whole one."""

from dataclasses import dataclass

import pytest

from crocusbay.state import Cause, MayHaveRun, Ran
from crocusbay_gateway.transport.tests.scripted import (
    END,
    RESET,
    open_pool,
    send_request,
)

pytestmark = pytest.mark.anyio

HEADERS = b"X-Attempt: a1\r\nX-Signature: sig\r\n"
NOT_RUN = b"X-Not-Run: 1\r\n"
BODY = b"0123456789ab"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# States all that a final response may state.
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n" + HEADERS + NOT_RUN + b"\r\n"


@dataclass(frozen=True)
class Framing:
    """Describe how the end of a body is found."""

    name: str
    headers: bytes = b""
    sent_body: bytes = BODY
    body: bytes = BODY
    ends_with_connection: bool = False


LENGTH = Framing("length", b"Content-Length: 12\r\n")
EMPTY = Framing("empty", b"Content-Length: 0\r\n", b"", b"")
CHUNKED = Framing(
    "chunked",
    b"Transfer-Encoding: chunked\r\n",
    b"00A;x=y\r\n0123456789\r\n2\r\nab\r\n0\r\nX-Trailer: 1\r\n\r\n",
)
UNFRAMED = Framing("unframed", ends_with_connection=True)
KEPT_ALIVE = Framing(
    "kept-alive", b"Connection: keep-alive\r\n", ends_with_connection=True
)
BODILESS = Framing("bodiless", b"", b"", b"")
# Such a response has no body, whatever its length says.
BODILESS_WITH_LENGTH = Framing("bodiless-length", b"Content-Length: 12\r\n", b"", b"")
FRAMINGS = (LENGTH, EMPTY, CHUNKED, UNFRAMED, KEPT_ALIVE)


@dataclass(frozen=True)
class Response:
    """Describe a response, sent after informational ones."""

    framing: Framing
    status: int = 200
    extra: bytes = b""
    version: bytes = b"1.1"
    reason: bytes = b" Some Reason"
    informational: bytes = b""

    def __str__(self):
        start = f"{self.framing.name}-{self.version.decode()}-{self.status}"
        not_run = "-not-run" if self.extra else ""
        return f"{start}{not_run}-after-{self.informational.count(b'HTTP/')}"

    @property
    def head(self):
        """Return all bytes before the body."""
        return self.informational + b"HTTP/%b %d%b\r\n%b%b%b\r\n" % (
            self.version,
            self.status,
            self.reason,
            HEADERS,
            self.extra,
            self.framing.headers,
        )

    @property
    def data(self):
        """Return all bytes of the response."""
        return self.head + self.framing.sent_body

    def body_until(self, offset, ending):
        """Return the body if the response is whole when cut at the offset, or None."""
        if not self.framing.ends_with_connection:
            return self.framing.body if offset == len(self.data) else None
        if ending is RESET or offset < len(self.head):
            return None
        return self.data[len(self.head) : offset]


RESPONSES = [
    *(
        Response(framing, status, extra)
        for framing in FRAMINGS
        for status in (200, 500, 503)
        for extra in (b"", NOT_RUN)
    ),
    *(
        Response(framing, status)
        for framing in (BODILESS, BODILESS_WITH_LENGTH)
        for status in (204, 304)
    ),
    *(Response(framing, version=b"1.0") for framing in (LENGTH, UNFRAMED, KEPT_ALIVE)),
    *(
        Response(framing, informational=informational)
        for framing in (LENGTH, CHUNKED, UNFRAMED)
        for informational in (CONTINUE, EARLY_HINTS, CONTINUE + EARLY_HINTS)
    ),
    Response(BODILESS, 204, informational=EARLY_HINTS),
    # Empty lines before the status line are ignored.
    Response(LENGTH, informational=b"\r\n\r\n"),
    Response(LENGTH, informational=CONTINUE + b"\r\n"),
    Response(LENGTH, reason=b""),
]


@pytest.mark.parametrize("is_order", [False, True], ids=["repeatable", "order"])
@pytest.mark.parametrize("ending", [END, RESET], ids=["end", "reset"])
@pytest.mark.parametrize("response", RESPONSES, ids=str)
async def test_response_cut_at_any_byte_may_have_run(response, ending, is_order):
    data = response.data
    offsets = range(len(data) + 1)
    scripts = [(data[:offset], ending) for offset in offsets]
    wrong = []
    async with open_pool(*scripts) as (server, pool, timers):
        for offset in offsets:
            verdict = await send_request(pool, timers, needs_fresh_connection=is_order)
            body = response.body_until(offset, ending)
            match verdict:
                case Ran(received):
                    is_right = (
                        received.status == response.status
                        and received.signature == b"sig"
                        and received.body == body
                    )
                case _:
                    is_right = body is None and verdict == MayHaveRun(Cause.RESET)
            if not is_right:
                wrong.append((data[:offset], verdict))
        assert len(server.requests) == len(offsets)
    assert wrong == []


MALFORMED = {
    "bytes-before": b"x" + Response(LENGTH).data,
    "status-cut": b"HTTP/1.1 20\r\n\r\nwhole",
    "status-below-100": b"HTTP/1.1 099 X\r\n" + HEADERS + b"\r\nwhole",
    "status-line-only": b"HTTP/1.1 200 OK\n\nwhole",
    "line-feeds": b"HTTP/1.1 200 OK\r\n" + HEADERS + b"\n\r\nwhole",
    "folded-header": b"HTTP/1.1 200 OK\r\n" + HEADERS + b" more\r\n\r\nwhole",
    "folded-length": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\n" + BODY,
    "empty-length": b"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nwhole",
    "long-length": b"HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nwhole",
    "negative-length": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwhole",
    "two-lengths": b"HTTP/1.1 200 OK\r\n" + 2 * b"Content-Length: 5\r\n" + b"\r\nwhole",
    "no-chunk-size": Response(Framing("", CHUNKED.headers, b"whole")).data,
    "long-chunk": Response(Framing("", CHUNKED.headers, b"5\r\nwhole0\r\n\r\n")).data,
    # Nothing tells where a body with another coding ends.
    "other-coding": Response(Framing("", b"Transfer-Encoding: gzip\r\n")).data,
    "switch": b"HTTP/1.1 101 X\r\n" + HEADERS + b"\r\nwhole",
    "upgrade": b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nwhole",
    # No final response follows these.
    "informational": 2 * CONTINUE,
    "informational-and-lines": EARLY_HINTS + b"\r\n\r\n",
    "informational-and-bytes": EARLY_HINTS + b"whole",
    "informational-body": b"HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\nwhole",
    "informational-close": b"HTTP/1.1 103 X\r\nConnection: close\r\n\r\n",
    "informational-1.0": b"HTTP/1.0 100 X\r\n" + HEADERS + b"\r\n",
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
async def test_malformed_response_cut_at_any_byte_may_have_run(data):
    offsets = range(len(data) + 1)
    scripts = [(data[:offset], END) for offset in offsets]
    async with open_pool(*scripts) as (_, pool, timers):
        verdicts = [await send_request(pool, timers) for _ in offsets]
    assert set(verdicts) <= {MayHaveRun(Cause.RESET), MayHaveRun(Cause.PROTOCOL)}


@pytest.mark.parametrize("response", RESPONSES, ids=str)
async def test_response_split_at_any_byte_is_the_same(response):
    data = response.data
    offsets = range(len(data))
    ending = (END,) if response.framing.ends_with_connection else ()
    scripts = [(data[:offset], data[offset:], *ending) for offset in offsets]
    async with open_pool((data, *ending), *scripts) as (_, pool, timers):
        whole = await send_request(pool, timers)
        assert isinstance(whole, Ran)
        for offset in offsets:
            assert await send_request(pool, timers) == whole, data[:offset]
