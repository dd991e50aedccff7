"""Arbitrary data from hosts, callers and servers."""

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from crocusbay.state import Cause
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.protocol import (
    CrashReport,
    HandoverReply,
    HandoverRequest,
    Heartbeat,
    KnownHost,
    RelayedFailure,
    RelayedPart,
    RelayedSubRequest,
    RelayQuery,
    RelayResponse,
    ServerReport,
    ViewQuery,
    ViewResponse,
    decode_message,
    decode_view,
)
from crocusbay_gateway.protocol.tests.http_conventions import HTTP_CONVENTIONS
from crocusbay_gateway.state import (
    Configuration,
    HostStatus,
    Limits,
    Reply,
    Route,
    RouteKind,
    ServerEntry,
    Service,
    ToShards,
)
from crocusbay_gateway.transport import CallerServer, Exchange, ReceiveBudget
from crocusbay_gateway.transport.caller_server import CallerConnection
from crocusbay_gateway.transport.server_connection import ServerConnection
from crocusbay_gateway.transport.tests.scripted import ok_response

STATUS = HostStatus("h", 1, 2, "a", "10.0.0.1:80", "10.0.0.1:81", store_era=1)
REQUEST = ("a1", "GET", "/x/1", "h.example", ((b"A", b"b"),), b"body")
ROUTE = Route("r", "h", "/x/", RouteKind.IDEMPOTENT, ToShards(("s",), 5, 0.5), 1.0, 0.1)
VIEW = ViewResponse(
    1,
    0.1,
    2,
    2,
    0.1,
    Configuration(1, (ROUTE,), (Service("s", 5),)),
    (ServerEntry("x", 2, "s", "10.0.0.2:80"),),
)
MESSAGES = [
    Heartbeat(
        STATUS,
        (KnownHost("i", "10.0.0.3:81"),),
        (CrashReport("f", "x", "s"),),
        {"a": 2},
        (ServerReport("x", 1, 5.0, 0.1),),
        {"a": 8.0},
        (STATUS,),
    ),
    ViewQuery(1, 2, 3),
    RelayQuery(1, *REQUEST, 1.0, 0.05, 5, (RelayedSubRequest("s", "x"),)),
    RelayResponse(
        1,
        (RelayedPart(0, 0.1, b"signature", b"0123456789abcdef"),),
        (RelayedFailure(0, True, True, Cause.RESET),),
    ),
    HandoverRequest(1, *REQUEST, "10.0.0.9", 1.0),
    HandoverReply(1, Reply(200, ((b"A", b"b"),), b"body")),
]
REQUEST_BYTES = (
    b"POST /x?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt: a1\r\nX-Deadline: 500\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    b"GET /y HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
)
RESPONSE_BYTES = (
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + ok_response(extra=b"Keep-Alive: timeout=5\r\nRetry-After: 1\r\n")
    + ok_response(b"a2")
)
ODD_PIECES = [
    b"\xff",
    b"\r\n",
    b"\0",
    b"9" * 5_000,
    b"nan",
    b"inf",
    b"-1",
    b"1e999",
    b"Content-Length: 99999999999999999999\r\n",
    b"Keep-Alive: timeout=" + b"9" * 5_000 + b"\r\n",
    b"X-Deadline: nan\r\n",
    b"\x91" * 3_000,
]
PIECES = st.one_of(st.binary(max_size=6), st.sampled_from(ODD_PIECES))


@st.composite
def edited(draw, data):
    """Draw data with some of its bytes replaced by pieces of other data."""
    for _ in range(draw(st.integers(0, 3))):
        start = draw(st.integers(0, len(data)))
        end = min(len(data), start + draw(st.integers(0, 8)))
        data = data[:start] + draw(PIECES) + data[end:]
    return data


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
@given(st.data())
def test_message_can_be_sent_on_or_is_malformed(message, data):
    decoder = msgspec.msgpack.Decoder(type(message))
    sent = data.draw(edited(msgspec.msgpack.encode(message)))
    try:
        decoded = decode_message(decoder, sent)
    except ValueError:
        return
    assert decoder.decode(msgspec.msgpack.encode(decoded)) == decoded


@given(edited(msgspec.msgpack.encode(VIEW)))
@example(msgspec.msgpack.encode(VIEW))
def test_view_can_be_sent_on_or_is_malformed(sent):
    try:
        view, _ = decode_view(sent)
    except ValueError:
        return
    assert decode_view(msgspec.msgpack.encode(view)) == (view, ())


class RecordingTransport:
    """Record what a connection does, in place of the event loop's transport."""

    def __init__(self):
        self.written = b""
        self.is_closed = False

    def get_extra_info(self, name):
        return ("10.0.0.9", 4000)

    def write(self, data):
        assert not self.is_closed
        self.written += data

    def close(self):
        self.is_closed = True

    abort = close

    def is_closing(self):
        return self.is_closed

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def set_write_buffer_limits(self, high=0):
        pass


def chunks(data, sizes):
    """Yield the data in chunks of these sizes, and what is left as a last one."""
    for size in sizes:
        yield data[:size]
        data = data[size:]
    yield data


SIZES = st.lists(st.integers(1, 60), max_size=6)


@given(edited(REQUEST_BYTES), SIZES)
def test_data_of_a_caller_is_a_request_or_rejected(data, sizes):
    server = CallerServer(None, HTTP_CONVENTIONS, TimerService(), Limits)
    server.start_connection = lambda connection: None
    connection = CallerConnection(server)
    connection.connection_made(RecordingTransport())
    for chunk in chunks(data, sizes):
        connection.data_received(chunk)
    connection.eof_received()


@given(edited(RESPONSE_BYTES), SIZES, st.booleans())
def test_data_of_a_server_is_a_response_or_closes_the_connection(
    data, sizes, is_in_use
):
    verdicts = []
    connection = ServerConnection(
        HTTP_CONVENTIONS,
        lambda statement: None,
        lambda connection: None,
        lambda connection: None,
        lambda: 0.0,
        ReceiveBudget(),
    )
    transport = RecordingTransport()
    connection.connection_made(transport)
    if is_in_use:
        request = b"GET / HTTP/1.1\r\n\r\n"
        exchange = Exchange(
            b"a1", request, 1.0, lambda _, verdict: verdicts.append(verdict)
        )
        connection.send(exchange)
    for chunk in chunks(data, sizes):
        if not transport.is_closed:
            connection.data_received(chunk)
    connection.eof_received()
    connection.connection_lost(None)
    assert len(verdicts) == is_in_use
