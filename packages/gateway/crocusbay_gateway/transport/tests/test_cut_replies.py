"""A caller sees a reply that is not sent to its end as a broken connection."""

import asyncio
import contextlib

import anyio
import httptools
import pytest

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.protocol import encode_reply, forwardable_headers
from crocusbay_gateway.protocol.tests.http_conventions import HTTP_CONVENTIONS
from crocusbay_gateway.state import Limits, Reply
from crocusbay_gateway.transport import CallerServer

pytestmark = pytest.mark.anyio

SERVER_HEADERS = forwardable_headers(
    [
        (b"X-Signature", b"sig"),
        (b"Content-Length", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Connection", b"keep-alive, X-Hop"),
        (b"X-Hop", b"1"),
    ],
    frozenset(),
)
# More than the kernel takes from a host whose caller does not read.
LARGE_BODY_BYTES = 64 * 1024 * 1024
LIMITS = Limits(
    header_bytes=9_000, body_bytes=100, header_timeout=1.0, idle_timeout=1.0
)


class ReplyReader:
    """Read a reply as callers do: without framing, the connection ends the body."""

    def __init__(self):
        self.has_head = self.is_framed = self.is_complete = False
        self._parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        framing = (b"content-length", b"transfer-encoding")
        self.is_framed |= name.lower() in framing

    def on_headers_complete(self):
        self.has_head = self._parser.get_status_code() >= 200

    def on_message_complete(self):
        self.is_complete = self.has_head

    def is_whole(self, data):
        self._parser.feed_data(data)
        return self.is_complete or (self.has_head and not self.is_framed)


@pytest.mark.parametrize("is_last", [False, True])
@pytest.mark.parametrize(
    "reply",
    [
        Reply(200, SERVER_HEADERS, b"0123456789ab", reason=b"Some Reason"),
        Reply(200, SERVER_HEADERS),
        Reply(204, SERVER_HEADERS),
        Reply(304, SERVER_HEADERS),
        Reply(404),
        Reply(500, SERVER_HEADERS, b"failure"),
        Reply(502),
        Reply(503, retry_after=0.5),
    ],
    ids=lambda reply: f"{reply.status}-{len(reply.body)}",
)
async def test_reply_cut_at_any_byte_is_not_whole(reply, is_last):
    data = encode_reply(reply, is_last=is_last)
    whole = [
        offset
        for offset in range(len(data) + 1)
        if ReplyReader().is_whole(data[:offset])
    ]
    assert whole == [len(data)]


async def test_reply_that_a_caller_does_not_read_is_not_whole():
    async def handle(request):
        return Reply(200, SERVER_HEADERS, b"x" * LARGE_BODY_BYTES)

    timers = TimerService()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        server = CallerServer(handle, HTTP_CONVENTIONS, timers, lambda: LIMITS)
        await server.start("127.0.0.1:0", tasks.start_soon)
        ip, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        with anyio.fail_after(10.0):
            while not server.connections or server.requests_in_progress:
                await asyncio.sleep(0)
            while server.connections:
                await asyncio.sleep(0)
            writer.transport.resume_reading()
            received = b""
            with contextlib.suppress(ConnectionResetError):
                while data := await reader.read(1024 * 1024):
                    received += data
        assert received.startswith(b"HTTP/1.1 200 ")
        assert not ReplyReader().is_whole(received)
        server.close()
        tasks.cancel_scope.cancel()
