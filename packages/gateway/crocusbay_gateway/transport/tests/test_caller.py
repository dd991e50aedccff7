import asyncio
from contextlib import asynccontextmanager

import anyio
import pytest

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.protocol.tests.http_conventions import HTTP_CONVENTIONS
from crocusbay_gateway.state import Limits, Reply
from crocusbay_gateway.transport import CallerServer

pytestmark = pytest.mark.anyio

LIMITS = Limits(
    header_bytes=9_000, body_bytes=100, header_timeout=0.1, idle_timeout=0.2
)
GET = b"GET /x?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt: a1\r\nX-Deadline: 500\r\n\r\n"
TIMEOUT_SECONDS = 10.0
# More than the buffers of both sockets hold.
LARGE_REPLY_BYTES = 16 * 1024 * 1024


class BlockingHandler:
    def __init__(self):
        self.requests = []
        self.cancelled = 0
        self.body = b"hello"
        self.release = anyio.Event()
        self.release.set()

    async def __call__(self, request):
        self.requests.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return Reply(200, body=request.body or self.body)


@asynccontextmanager
async def open_server():
    handler = BlockingHandler()
    timers = TimerService()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        server = CallerServer(handler, HTTP_CONVENTIONS, timers, lambda: LIMITS)
        await server.start("127.0.0.1:0", tasks.start_soon)
        yield handler, server
        server.close()
        tasks.cancel_scope.cancel()


async def send_and_receive(server, data):
    """Send bytes; return all data received before end of stream or the time-out."""
    ip, port = server.address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    received = b""
    with anyio.move_on_after(TIMEOUT_SECONDS):
        received = await reader.read(-1)
    writer.close()
    return received


async def test_handler_receives_the_request_without_hop_by_hop_headers():
    async with open_server() as (handler, server):
        data = (
            b"POST /x?q=1 HTTP/1.1\r\nHost: H.example:80\r\nX-Attempt: a1\r\n"
            b"X-Deadline: 500\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Own: v\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        received = await send_and_receive(server, data)
        assert received.startswith(b"HTTP/1.1 200 OK\r\n")
        assert received.endswith(b"\r\n\r\nabcde")
        request = handler.requests[0]
        assert (request.method, request.target) == ("POST", "/x?q=1")
        assert (request.host, request.path) == ("h.example", "/x")
        assert (request.attempt_id, request.body) == ("a1", b"abcde")
        assert request.deadline - request.received_at == pytest.approx(0.5)
        names = [name for name, _ in request.headers]
        assert names == [b"Host", b"X-Attempt", b"X-Own"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            b"400",
        ),
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
            b"413",
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 11_000 + b"\r\n\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", b"408"),
    ],
)
async def test_bad_request_is_rejected_before_the_handler(data, status):
    async with open_server() as (handler, server):
        received = await send_and_receive(server, data)
        assert received.split(b" ")[1] == status
        assert b"Connection: close" in received
        assert handler.requests == []


async def test_pipelined_requests_are_answered_in_order():
    async with open_server() as (handler, server):
        bodies = b"".join(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n%d" % number
            for number in range(5)
        )
        received = await send_and_receive(server, bodies)
        assert [part[:1] for part in received.split(b"\r\n\r\n")[1:]] == [
            b"%d" % number for number in range(5)
        ]


async def test_idle_connection_is_closed_after_the_timeout():
    async with open_server() as (_, server):
        assert await send_and_receive(server, b"") == b""


async def test_disconnected_caller_cancels_its_request():
    async with open_server() as (handler, server):
        handler.release = anyio.Event()
        ip, port = server.address.split(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.write(GET)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not handler.requests:
                await asyncio.sleep(0)
            writer.close()
            while not handler.cancelled:
                await asyncio.sleep(0)


@pytest.mark.parametrize("count", [1, 3])
async def test_leaving_host_replies_with_connection_close(count):
    """Send requests in one write; each is read, so each is answered."""
    async with open_server() as (handler, server):
        server.start_leaving()
        received = await send_and_receive(server, count * GET)
        assert received.count(b"HTTP/1.1 200 OK\r\n") == count
        *_, last = received.split(b"HTTP/1.1 200 OK\r\n")
        assert received.count(b"Connection: close") == 1
        assert b"Connection: close" in last


async def wait_until(condition):
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("read_bytes", [10, len(GET) - 1, len(GET), len(GET) + 10])
async def test_request_under_way_when_the_host_stops_listening_is_answered(read_bytes):
    async with open_server() as (handler, server):
        ip, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        handler.release = anyio.Event()
        writer.write((2 * GET)[:read_bytes])
        await wait_until(lambda: server.requests_in_progress)
        server.start_leaving()
        server.close()
        writer.write(GET[read_bytes:])
        await wait_until(lambda: handler.requests)
        handler.release.set()
        received = await reader.read(-1)
        assert received.count(b"HTTP/1.1 200 OK\r\n") == 1
        await wait_until(lambda: not server.requests_in_progress)
        writer.close()


@pytest.mark.parametrize(
    ("data", "replies"), [(b"", 0), (GET[:-1], 0), (GET, 1), (2 * GET, 2)]
)
async def test_host_that_ends_answers_what_it_has_read(data, replies):
    async with open_server() as (handler, server):
        ip, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        handler.release = anyio.Event()
        writer.write(data)
        await wait_until(lambda: server.connections)
        await wait_until(lambda: server.requests_in_progress or not data)
        server.start_leaving()
        server.stop_reading()
        handler.release.set()
        received = await reader.read(-1)
        assert received.count(b"HTTP/1.1 200 OK\r\n") == replies
        await wait_until(lambda: not server.requests_in_progress)
        writer.close()


async def test_request_is_in_progress_until_its_reply_is_sent():
    async with open_server() as (handler, server):
        handler.body = bytes(LARGE_REPLY_BYTES)
        server.start_leaving()
        ip, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1024)
        writer.write(GET)
        await wait_until(lambda: handler.requests)
        for _ in range(10):
            await asyncio.sleep(0)
        assert server.requests_in_progress == 1
        received = await reader.read(-1)
        assert received.endswith(handler.body)
        await wait_until(lambda: not server.requests_in_progress)
        writer.close()
