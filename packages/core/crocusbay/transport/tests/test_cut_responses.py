"""A response that a server did not send to its end is never taken for a whole one."""

import asyncio
import itertools
import re
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from crocusbay.protocol.upstream import SubResponse
from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay.transport.tests.test_pool import Caller, running_pool

_ID = re.compile(rb"crocusbay-request: (\S+)")

BODY = b'{"reason":"x"}'
LENGTH = b"content-length: 14\r\n\r\n" + BODY
CHUNKED = (
    b"transfer-encoding: chunked\r\n\r\n"
    b"00A;x=y\r\n" + BODY[:10] + b"\r\n4\r\n" + BODY[10:] + b"\r\n0\r\nx-end: 1\r\n\r\n"
)
UNFRAMED = b"\r\n" + BODY
RESET = MayHaveRun(Cause.RESET)


@asynccontextmanager
async def cutting_server(responses, *, is_reset):
    """Send each response and close or reset; answer the pings before orders."""

    async def serve(reader, writer):
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                request_id = _ID.search(request).group(1)
                if b"/health" not in request:
                    break
                writer.write(
                    b"HTTP/1.1 200 -\r\ncrocusbay-request: %b\r\n" % request_id + LENGTH
                )
            writer.write(responses.pop(0).replace(b"ID", request_id))
            await writer.drain()
            if is_reset:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                writer.transport.abort()
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        ip, port = server.sockets[0].getsockname()
        yield f"{ip}:{port}"


def make_response(status, framed_body, version=b"1.1"):
    start = b"HTTP/%b %d -\r\ncrocusbay-request: ID\r\n" % (version, status)
    return start + framed_body


@pytest.mark.parametrize("is_order", [False, True], ids=["repeatable", "order"])
@pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize(
    ("response", "whole"),
    [
        (make_response(200, LENGTH), Ran(SubResponse(200, BODY))),
        (make_response(200, CHUNKED), Ran(SubResponse(200, BODY))),
        (make_response(200, LENGTH, b"1.0"), Ran(SubResponse(200, BODY))),
        (make_response(404, LENGTH), Ran(SubResponse(404, BODY))),
        (make_response(503, LENGTH), NotRun(Cause.SHED, 0.0, "x")),
        (make_response(503, CHUNKED), NotRun(Cause.SHED, 0.0, "x")),
        (make_response(504, LENGTH), NotRun(Cause.DEADLINE)),
        (make_response(500, LENGTH), MayHaveRun(Cause.PROTOCOL, 0.0, "status 500")),
        (make_response(204, b"\r\n"), MayHaveRun(Cause.PROTOCOL, 0.0, "status 204")),
        (make_response(304, b"\r\n"), MayHaveRun(Cause.PROTOCOL, 0.0, "status 304")),
        # Servers frame each response.
        (make_response(200, UNFRAMED), RESET),
        (make_response(503, UNFRAMED), RESET),
        (make_response(504, b"\r\n"), RESET),
        (make_response(200, UNFRAMED, b"1.0"), RESET),
    ],
)
async def test_response_cut_at_any_byte_may_have_run(
    response, whole, is_reset, is_order
):
    offsets = range(len(response) + 1)
    responses = [response[:offset] for offset in offsets]
    async with (
        cutting_server(responses, is_reset=is_reset) as address,
        running_pool(address) as (pool, timers),
    ):
        caller = Caller(pool, timers)
        verdicts = []
        for offset in offsets:
            request = f"r{offset}"
            caller.send(request, is_idempotent=not is_order)
            verdicts.append(await caller.verdict(request))
    assert verdicts == [RESET] * len(response) + [whole]


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" + make_response(200, LENGTH),
        make_response(103, b"\r\n") + make_response(200, LENGTH),
        make_response(103, b"\r\n") + make_response(503, LENGTH),
        make_response(101, b"\r\n") + b"bytes",
        make_response(101, b"connection: upgrade\r\nupgrade: x\r\n\r\n") + b"bytes",
        b"x" + make_response(200, LENGTH),
        make_response(200, b" folded\r\n" + LENGTH),
        make_response(200, b"content-length: 1\r\n 4\r\n\r\n" + BODY),
        b"HTTP/1.1 200 OK\n\n",
    ],
)
async def test_irregular_response_cut_at_any_byte_may_have_run(response):
    offsets = range(len(response))
    responses = [response[:offset] for offset in offsets]
    async with (
        cutting_server(responses, is_reset=False) as address,
        running_pool(address) as (pool, timers),
    ):
        caller = Caller(pool, timers)
        for number in itertools.count():
            if not responses:
                break
            request = f"r{number}"
            unsent = len(responses)
            caller.send(request)
            verdict = await caller.verdict(request)
            if len(responses) == unsent:
                # The end of the previous connection came before the request was sent.
                assert verdict == NotRun(Cause.NO_CONNECTION)
            else:
                assert isinstance(verdict, MayHaveRun)
