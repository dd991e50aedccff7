"""HTTP/1.1 client connection: one exchange at a time, each response verified."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import httptools

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict
from crocusbay.transport.timers import Timer
from crocusbay_gateway.protocol.http_conventions import HttpConventions
from crocusbay_gateway.state import ServerResponse, ServerStatement
from crocusbay_gateway.transport.receive_budget import ReceiveBudget

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# Includes informational responses before the final one.
MAX_HEAD_BYTES = 64 * 1024
# A header takes some hundred bytes of memory, however short it is.
MAX_HEADERS = 256
# Informational responses, which precede the final one, have lower statuses.
MIN_FINAL_STATUS = 200
MIN_FAILURE_STATUS = 400
# A connection is closed after this many rejected or failed attempts, all of which it
# must remember.
MAX_FAILED_ATTEMPTS = 64

_REST_HEADER = b"retry-after"
_NO_STATEMENT = ServerStatement()
# Rejections, in which `Retry-After` concerns the server rather than one resource.
_REJECTION_STATUSES = frozenset({429, 503})
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class ExchangeChannel(Protocol):
    """Define the interface of a connection or relayed call that carries an exchange."""

    current_exchange: "Exchange | None"

    def close(self, cause: Cause = Cause.CANCELLED) -> None:
        """Abort the exchange in progress."""


class Exchange:
    """Send one request to one server and deliver exactly one verdict.

    The response must echo `attempt_id` unless that is empty. Times are on the monotonic
    clock (seconds). With `needs_fresh_connection`, the request is sent only on a new or
    recently used connection because it must not be sent twice.
    """

    __slots__ = (
        "attempt_id",
        "data",
        "deadline",
        "is_done",
        "needs_fresh_connection",
        "is_sent",
        "sent_at",
        "server_time",
        "channel",
        "relay",
        "_deliver",
    )

    def __init__(
        self,
        attempt_id: bytes,
        data: bytes | Callable[[], bytes],
        deadline: float,
        deliver: Callable[["Exchange", Verdict], None],
        *,
        needs_fresh_connection: bool = False,
    ) -> None:
        self.attempt_id = attempt_id
        self.data = data
        self.deadline = deadline
        self.is_done = False
        self.needs_fresh_connection = needs_fresh_connection
        self.is_sent = False
        self.sent_at = 0.0
        # Response time to attribute to the server if the request took a longer path,
        # such as through a relay (seconds).
        self.server_time: float | None = None
        # The connection or relayed call in use; its `close` aborts the exchange that is
        # its `current_exchange`.
        self.channel: ExchangeChannel | None = None
        # Name of the host that sends the request to the server for this one, if any.
        self.relay = ""
        self._deliver = deliver

    def replace_callback(self, deliver: Callable[["Exchange", Verdict], None]) -> None:
        """Replace the callback that receives the verdict."""
        self._deliver = deliver

    def finish(self, verdict: Verdict) -> None:
        """Deliver the verdict unless one has already been delivered."""
        if self.is_done:
            return
        self.is_done = True
        deliver, self._deliver, self.data = self._deliver, None, b""
        deliver(self, verdict)

    def elapsed(self, now: float) -> float:
        """Return the server's response time so far, or 0 if not sent (seconds)."""
        if not self.is_sent:
            return 0.0
        return now - self.sent_at if self.server_time is None else self.server_time

    def fail(self, cause: Cause, detail: str = "") -> None:
        """Deliver `NotRun` if the request was never sent, else `MayHaveRun`."""
        kind = MayHaveRun if self.is_sent else NotRun
        self.finish(kind(cause, detail=detail))


class ServerConnection(asyncio.Protocol):
    """Send exchanges over one connection; close it on any unexpected data."""

    def __init__(
        self,
        conventions: HttpConventions,
        on_statement: Callable[[ServerStatement], None],
        on_idle: Callable[["ServerConnection"], None],
        on_lost: Callable[["ServerConnection"], None],
        now: Callable[[], float],
        receive_budget: ReceiveBudget,
        on_bytes: Callable[[int], None] | None = None,
    ) -> None:
        self.current_exchange: Exchange | None = None
        self.last_used_at = now()
        self.response_count = 0
        self.idle_timeout: float | None = None
        self.is_closed = False
        self.timer: Timer | None = None
        self._attempt_header = conventions.attempt_id.lower()
        self._signature_header = conventions.signature.lower()
        self._limit_header = conventions.stated_limit.lower()
        self._leaving_header = conventions.leaving.lower()
        self._statement_headers = frozenset(
            {self._limit_header, self._leaving_header, _REST_HEADER}
        )
        self._wrong_server_status = conventions.wrong_server_status
        self._on_statement = on_statement
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._now = now
        self._receive_budget = receive_budget
        self._on_bytes = on_bytes
        self._received_bytes = 0
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        # Attempts that the server rejected or failed on this connection.
        self._failed_attempt_ids: set[bytes] = set()
        self._reset_message()

    def stop_timer(self) -> None:
        """Cancel the timer of the previous exchange."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def may_carry(self, exchange: Exchange) -> bool:
        """Return whether responses to the exchange are told from earlier ones.

        The server may send a rejection twice, and the second one may arrive once the
        attempt is repeated, however many other requests were served in between.
        """
        return exchange.attempt_id not in self._failed_attempt_ids

    def send(self, exchange: Exchange) -> None:
        """Send the request of an exchange."""
        self.current_exchange = exchange
        exchange.channel = self
        exchange.is_sent = True
        exchange.sent_at = self._now()
        data = exchange.data if isinstance(exchange.data, bytes) else exchange.data()
        self._transport.write(data)
        if self._on_bytes is not None:
            self._on_bytes(len(data))

    def close(self, cause: Cause = Cause.CANCELLED) -> None:
        """Abort the connection and fail the exchange in progress with the cause."""
        self._terminate(cause)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport (called by the event loop)."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a chunk (called by the event loop)."""
        if self._on_bytes is not None:
            self._on_bytes(len(data))
        if self.is_closed:
            return
        if self.current_exchange is None:
            self._terminate(Cause.RESPONSE_MISMATCH)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._terminate(Cause.PROTOCOL)
        except httptools.HttpParserError as error:
            if self._is_complete:
                # Data after a complete response belongs to no request.
                self._has_extra_data = True
            else:
                is_mismatch = isinstance(error.__context__, _AttemptMismatchError)
                self._terminate(
                    Cause.RESPONSE_MISMATCH if is_mismatch else Cause.PROTOCOL
                )
        if self._is_complete:
            self._deliver()
        else:
            self._limit_size(len(data))

    def eof_received(self) -> None:
        """Complete an unframed response, fail any other (called by the event loop)."""
        if self._has_final_head and not self._is_framed and not self._is_complete:
            self._must_close = True
            self._deliver()
        self._terminate(Cause.RESET)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in progress (called by the event loop)."""
        self._terminate(Cause.RESET)

    def on_message_begin(self) -> None:
        """Reset the state for a new response (called by the parser)."""
        if self._is_complete or self.current_exchange is None:
            self._has_extra_data = True
            return
        self._reset_message()

    def on_status(self, reason: bytes) -> None:
        """Append a chunk of the reason phrase (called by the parser)."""
        if not self._has_extra_data:
            self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header, but no trailer (called by the parser)."""
        if self._has_extra_data or self._has_final_head:
            return
        self._headers.append((name, value))
        if len(self._headers) > MAX_HEADERS:
            raise ValueError(f"response has more than {MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Verify the attempt ID and read the framing (called by the parser)."""
        if self._has_extra_data:
            return
        self._status = self._parser.get_status_code()
        self._has_final_head = self._status >= MIN_FINAL_STATUS
        self._must_close = not self._parser.should_keep_alive()
        attempt_ids: list[bytes] = []
        stated: dict[bytes, bytes] = {}
        for name, value in self._headers:
            lower = name.lower()
            if lower in _FRAMING_HEADERS:
                self._is_framed = True
            elif lower == self._signature_header:
                self._signature = value
            elif lower == b"keep-alive":
                self._parse_keep_alive(value)
            elif lower in self._statement_headers:
                stated[lower] = value
            elif lower == self._attempt_header:
                attempt_ids.append(value)
        self._report_statement(stated)
        for attempt_id in attempt_ids:
            self._check_attempt(attempt_id)

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body (called by the parser)."""
        if self._has_extra_data:
            return
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            raise ValueError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Mark a final response as complete (called by the parser)."""
        if not self._has_extra_data:
            self._is_complete = self._has_final_head

    def _reset_message(self) -> None:
        self._is_complete = False
        self._has_extra_data = False
        self._has_final_head = False
        self._is_framed = False
        self._must_close = False
        self._status = 0
        self._reason = b""
        self._signature = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    def _limit_size(self, added_bytes: int) -> None:
        """Cut off a response without end, whatever part of it has none."""
        if self.is_closed:
            return
        self._received_bytes += added_bytes
        max_bytes = MAX_RESPONSE_BYTES if self._has_final_head else MAX_HEAD_BYTES
        if self._received_bytes > max_bytes:
            self._cut_off()
        else:
            self._receive_budget.set_size(self._cut_off, self._received_bytes)

    def _reset_size(self) -> None:
        self._receive_budget.set_size(self._cut_off, 0)
        self._received_bytes = 0

    def _cut_off(self) -> None:
        self._terminate(Cause.PROTOCOL)

    def _check_attempt(self, value: bytes) -> None:
        expected = self.current_exchange.attempt_id
        if expected and value != expected:
            raise _AttemptMismatchError(
                f"response to attempt {value!r}, expected {expected!r}"
            )

    def _report_statement(self, stated: dict[bytes, bytes]) -> None:
        """Report what the server states, whatever becomes of its response.

        A response to a request for another server says nothing of that one.
        """
        if not self._has_final_head or self._status == self._wrong_server_status:
            return
        if not stated:
            self._on_statement(_NO_STATEMENT)
            return
        is_rejection = self._status in _REJECTION_STATUSES
        self._on_statement(
            ServerStatement(
                stated.get(self._limit_header, b""),
                stated.get(_REST_HEADER, b"") if is_rejection else b"",
                stated.get(self._leaving_header) == b"1",
            )
        )

    def _parse_keep_alive(self, value: bytes) -> None:
        for parameter in value.split(b","):
            key, _, seconds = parameter.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.strip().isdigit():
                self.idle_timeout = float(seconds)

    def _deliver(self) -> None:
        exchange = self.current_exchange
        if exchange is None or self.is_closed:
            return
        response = ServerResponse(
            self._status,
            self._reason,
            tuple(self._headers),
            bytes(self._body),
            self._signature,
        )
        if exchange.attempt_id and self._status >= MIN_FAILURE_STATUS:
            self._failed_attempt_ids.add(exchange.attempt_id)
        must_close = (
            self._must_close
            or self._has_extra_data
            or len(self._failed_attempt_ids) >= MAX_FAILED_ATTEMPTS
        )
        self.current_exchange = None
        self.last_used_at = self._now()
        self.response_count += 1
        self._reset_message()
        self._reset_size()
        if must_close:
            self._terminate(Cause.CANCELLED)
        exchange.finish(Ran(response))
        if not self.is_closed:
            self._on_idle(self)

    def _terminate(self, cause: Cause) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._transport.abort()
        # The parser refers to this object, so both stay until the next collection.
        self._reset_message()
        self._reset_size()
        exchange, self.current_exchange = self.current_exchange, None
        self._on_lost(self)
        if exchange is not None:
            exchange.fail(cause)


class _AttemptMismatchError(Exception):
    """Report a response that belongs to another exchange."""
