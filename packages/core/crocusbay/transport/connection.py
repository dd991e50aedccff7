"""One connection to an upstream server; one task reads its responses."""

from collections.abc import Callable

import anyio
import httptools

from crocusbay.protocol.codec import from_json
from crocusbay.protocol.upstream import (
    CLOCK_HEADER,
    LEAVING_HEADER,
    REQUEST_HEADER,
    STATUS_CANCELLED,
    STATUS_DEADLINE,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_REFUSED,
    STATUS_WRONG_SNAPSHOT,
    Refusal,
    SubResponse,
)
from crocusbay.state import (
    Cause,
    HybridClock,
    MayHaveRun,
    NotRun,
    Ran,
    Verdict,
    parse_stamp,
    split_address,
)
from crocusbay.transport.exchange import Exchange
from crocusbay.transport.stream import UpstreamStream, open_stream

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024

_REQUEST_HEADER = REQUEST_HEADER.encode()
_CLOCK_HEADER = CLOCK_HEADER.encode()
_LEAVING_HEADER = LEAVING_HEADER.encode()
_RAN_STATUSES = frozenset({STATUS_OK, STATUS_NOT_FOUND, STATUS_WRONG_SNAPSHOT})


class ProtocolError(Exception):
    """Report a response that violates the protocol."""


class ResponseMismatchError(ProtocolError):
    """Report a response that belongs to another request."""


class UpstreamConnection:
    """Connect to a server and carry one exchange at a time."""

    def __init__(
        self,
        address: str,
        clock: HybridClock,
        on_idle: Callable[["UpstreamConnection"], None],
        now: Callable[[], float],
    ) -> None:
        self.address = address
        self.current_exchange: Exchange | None = None
        self.last_response_at = 0.0
        self.response_count = 0
        self.is_closing = False
        self.close_cause = Cause.RESET
        self._clock = clock
        self._on_idle = on_idle
        self._now = now
        self._stream: UpstreamStream
        self._scope = anyio.CancelScope()
        self.on_message_begin()

    @property
    def carries_non_idempotent(self) -> bool:
        """Return whether a non-idempotent request is in flight."""
        return (
            self.current_exchange is not None
            and not self.current_exchange.sub_request.is_idempotent
        )

    async def run(self) -> Cause | None:
        """Connect and read until the connection ends.

        Return the cause if connecting failed, else None.
        """
        ip, port = split_address(self.address)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                self._stream = await open_stream(ip, port)
        except (OSError, TimeoutError):
            return Cause.CONNECT_FAILED
        with self._scope:
            self._on_idle(self)
            await self._read_responses()
        self.is_closing = True
        self._stream.close()
        if self.current_exchange:
            is_sent = self.current_exchange.is_sent
            self.current_exchange.fail(
                self.close_cause if is_sent else Cause.NO_CONNECTION
            )
        return None

    def close(self, cause: Cause) -> None:
        """Close the connection; an exchange in flight fails with the cause."""
        self.is_closing = True
        self.close_cause = cause
        self._scope.cancel()

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Write one request; close the connection if it does not take it."""
        try:
            self._stream.send(data)
        except anyio.BrokenResourceError:
            self.close(Cause.RESET)
            return
        exchange.is_sent = True
        exchange.sent_at = self._now()

    async def _read_responses(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        try:
            while True:
                data = await self._stream.receive()
                self._parser.feed_data(data)
                self._check_size(len(data))
        except anyio.EndOfStream:
            self.close_cause = Cause.RESET
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            ProtocolError,
        ) as error:
            is_mismatch = isinstance(error.__context__ or error, ResponseMismatchError)
            self.close_cause = (
                Cause.RESPONSE_MISMATCH if is_mismatch else Cause.PROTOCOL
            )

    def _check_size(self, added_bytes: int) -> None:
        """Raise ProtocolError if the response in progress is too large."""
        if self.current_exchange is None:
            return
        self._received_bytes += added_bytes
        max_bytes = MAX_RESPONSE_BYTES if self._has_head else MAX_HEAD_BYTES
        if self._received_bytes > max_bytes:
            raise ProtocolError(f"response exceeds {max_bytes} bytes")

    def on_message_begin(self) -> None:
        """Reset the state for a new response (called by the parser)."""
        self._request_id = b""
        self._is_leaving = False
        self._body = bytearray()
        self._received_bytes = 0
        self._has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process one header (called by the parser)."""
        name = name.lower()
        if name == _REQUEST_HEADER:
            self._request_id = value
        elif name == _CLOCK_HEADER:
            self._clock.observe(parse_stamp(value.decode("latin-1")))
        elif name == _LEAVING_HEADER:
            self._is_leaving = True

    def on_status(self, status: bytes) -> None:
        """Ignore the reason phrase (called by the parser)."""

    def on_headers_complete(self) -> None:
        """Check that the response belongs to the request in flight."""
        if self.current_exchange is None:
            raise ResponseMismatchError("response received with no request in flight")
        self._has_head = True
        expected = self.current_exchange.sub_request.request_id.encode()
        if self._request_id != expected:
            raise ResponseMismatchError(
                f"response is for {self._request_id!r}, not {expected!r}"
            )

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body (called by the parser)."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            raise ProtocolError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Deliver the verdict of the request in flight."""
        exchange = self.current_exchange
        self.current_exchange = None
        self.last_response_at = self._now()
        self.response_count += 1
        body = bytes(self._body)
        status = self._parser.get_status_code()
        self._received_bytes = 0
        exchange.finish(_to_verdict(status, body, self._is_leaving))
        self._on_idle(self)


def _to_verdict(status: int, body: bytes, is_leaving: bool) -> Verdict:
    if status in _RAN_STATUSES:
        return Ran(SubResponse(status, body, is_leaving))
    if status == STATUS_REFUSED:
        refusal = from_json(body, Refusal).default_value(Refusal("unknown"))
        cause = Cause.DRAINING if is_leaving else Cause.SHED
        return NotRun(cause, refusal.retry_after_ms / 1000, refusal.reason)
    if status == STATUS_DEADLINE:
        return NotRun(Cause.DEADLINE)
    if status == STATUS_CANCELLED:
        return MayHaveRun(Cause.CANCELLED)
    return MayHaveRun(Cause.PROTOCOL, detail=f"status {status}")
