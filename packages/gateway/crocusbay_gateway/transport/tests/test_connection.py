import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay_gateway.transport.tests.scripted import (
    END,
    RESET,
    ask,
    ok,
    open_pool,
)

pytestmark = pytest.mark.anyio

UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: sig\r\n\r\nwhole"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwhole\r\n"
)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ((ok(),), b"body"),
        ((ok()[:30], ok()[30:]), b"body"),
        ((b"HTTP/1.1 100 Continue\r\n\r\n", ok()), b"body"),
        ((CHUNKED, b"0\r\n\r\n"), b"whole"),
        # Without a length, an answer ends with its connection.
        ((UNFRAMED, END), b"whole"),
        # Cut short, it is none.
        ((UNFRAMED, RESET), Cause.RESET),
        ((ok()[:-2], END), Cause.RESET),
        ((CHUNKED, END), Cause.RESET),
        ((b"HTTP/1.1 200 OK\r\n", END), Cause.RESET),
        ((RESET,), Cause.RESET),
        ((b"\x16\x03\x01 nonsense\r\n\r\n",), Cause.PROTOCOL),
        # An answer to another attempt belongs to no request.
        ((ok(attempt=b"a0"),), Cause.CROSSED),
    ],
)
async def test_only_whole_answers_to_the_request_count(script, expected):
    async with open_pool(script) as (_, pool, timers):
        verdict = await ask(pool, timers)
    if isinstance(expected, bytes):
        assert isinstance(verdict, Ran)
        assert verdict.answer.body == expected
    else:
        assert verdict == MayHaveRun(expected)


@pytest.mark.parametrize(
    "first",
    [
        # A second answer with the first, and bytes that are none.
        (ok() + ok(),),
        (ok() + b"rest",),
        # The server announces that it closes.
        (ok(extra=b"Connection: close\r\n"),),
        (ok(extra=b"Keep-Alive: timeout=0\r\n"),),
    ],
)
async def test_connection_that_may_hold_other_bytes_is_not_used_again(first):
    async with open_pool(first, (ok(attempt=b"a2"),)) as (server, pool, timers):
        assert isinstance(await ask(pool, timers), Ran)
        assert isinstance(await ask(pool, timers, attempt=b"a2"), Ran)
        assert server.connections == 2


async def test_connection_is_used_again():
    scripts = [(ok(attempt=b"a%d" % number),) for number in range(3)]
    async with open_pool(*scripts) as (server, pool, timers):
        for number in range(3):
            verdict = await ask(pool, timers, attempt=b"a%d" % number)
            assert isinstance(verdict, Ran)
        assert server.connections == 1


async def test_late_extra_answer_ends_the_connection_instead_of_the_next_request():
    scripts = [(ok(attempt=b"a1"),), (ok(attempt=b"a1"), ok(attempt=b"a2"))]
    async with open_pool(*scripts) as (_, pool, timers):
        assert isinstance(await ask(pool, timers), Ran)
        verdict = await ask(pool, timers, attempt=b"a2")
        assert verdict == MayHaveRun(Cause.CROSSED)


async def test_silent_server_costs_no_more_than_the_deadline():
    async with open_pool(()) as (_, pool, timers):
        assert await ask(pool, timers, seconds=0.05) == MayHaveRun(Cause.SILENT)


async def test_refused_connection_did_not_run_the_request():
    async with open_pool() as (_, pool, timers):
        pool.address = "127.0.0.1:1"
        assert await ask(pool, timers) == NotRun(Cause.CONNECT_FAILED)


async def test_pool_keeps_to_its_share():
    async with open_pool((), (), (), share=2) as (server, pool, timers):
        for _ in range(3):
            assert not isinstance(await ask(pool, timers, seconds=0.05), Ran)
        assert pool.open_connections <= 2
