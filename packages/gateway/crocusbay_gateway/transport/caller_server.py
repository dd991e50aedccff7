"""HTTP/1.1 server for callers: one task per connection, one request at a time."""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable

import anyio
import httptools

from crocusbay.state import split_address
from crocusbay.transport.timers import Timer, TimerService
from crocusbay_gateway.protocol import (
    HttpConventions,
    encode_reply,
    forwardable_headers,
)
from crocusbay_gateway.state import CallerRequest, Limits, Reply
from crocusbay_gateway.transport.receive_budget import ReceiveBudget

BACKLOG = 1024
# Pipelined requests queued for a connection before reading from it pauses.
MAX_QUEUED_REQUESTS = 8
# A connection is aborted when more unsent bytes than this are buffered for the caller;
# more than the largest response of a server.
MAX_UNSENT_BYTES = 5 * 1024 * 1024
# A header takes some hundred bytes of memory, however short it is.
MAX_HEADERS = 256
# What a request takes beside its body, roughly.
REQUEST_BYTES = 2_048
# After which a caller may send a request again that was too much for the memory.
NO_MEMORY_RETRY_SECONDS = 1.0
# Headers of this size are accepted even if the configured limit is lower.
MIN_HEADER_LIMIT_BYTES = 8_192
HEADER_SLACK_BYTES = 1_024

Handler = Callable[[CallerRequest], Awaitable[Reply]]


class CallerServer:
    """Accept connections and pass each request to a handler.

    `limits` is called for each request because a new configuration may change them.
    `on_rejected` is called with the status and reason of each rejected request. Those
    that are being received, or wait for the one before them, count for the budget.
    """

    def __init__(
        self,
        handler: Handler,
        conventions: HttpConventions,
        timers: TimerService,
        limits: Callable[[], Limits],
        on_rejected: Callable[[int, str], None] = lambda status, reason: None,
        receive_budget: ReceiveBudget | None = None,
    ) -> None:
        self.receive_budget = receive_budget or ReceiveBudget()
        self.handler = handler
        self.conventions = conventions
        self.timers = timers
        self.limits = limits
        self.on_rejected = on_rejected
        self.is_leaving = False
        self.has_stopped_reading = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server
        self._spawn: Callable

    @property
    def requests_in_progress(self) -> int:
        """Return the number of requests in progress, at most one per connection.

        A request is in progress from its first byte until its reply has been sent.
        """
        return sum(connection.is_in_use for connection in self.connections)

    async def start(self, address: str, spawn: Callable) -> None:
        """Listen on ip:port and run connections with `spawn`; raise OSError."""
        ip, port = split_address(address)
        self._spawn = spawn
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            ip,
            port,
            backlog=BACKLOG,
            family=socket.AF_INET,
            reuse_address=True,
        )

    @property
    def address(self) -> str:
        """Return the bound address as ip:port."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    def start_connection(self, connection: "CallerConnection") -> None:
        """Start the task of a new connection."""
        self.connections.add(connection)
        self._spawn(connection.run)

    def start_leaving(self) -> None:
        """Send `Connection: close` with the last reply on each connection."""
        self.is_leaving = True

    def close(self) -> None:
        """Stop listening and close the connections without a request in progress."""
        self._server.close()
        for connection in list(self.connections):
            if not connection.is_in_use:
                connection.close()

    def stop_reading(self) -> None:
        """Read no further requests; close the connections without a complete one."""
        self.has_stopped_reading = True
        for connection in list(self.connections):
            connection.stop_reading()


class CallerConnection(asyncio.Protocol):
    """Parse requests from one connection and reply to them in order."""

    def __init__(self, server: CallerServer) -> None:
        self.is_busy = False
        self._server = server
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        # Each request, or the reply to a rejected one, and whether the connection stays
        # open after it.
        self._requests: deque[tuple[CallerRequest | Reply, bool]] = deque()
        self._wake = anyio.Event()
        self._cancel_scope: anyio.CancelScope | None = None
        self._timer: Timer | None = None
        self._is_closed = False
        self._is_rejected = False
        # Bytes of the headers so far, of an incomplete head as received, and of queued
        # requests.
        self._header_bytes = 0
        self._head_bytes = 0
        self._queued_bytes = 0
        self._is_receiving = False
        self._is_in_message = False
        self._has_head = False
        self._has_completed = False
        self._is_writing_paused = False
        self._body = bytearray()
        self._caller_ip = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the connection's task (called by the event loop)."""
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._caller_ip = peer[0] if peer else ""
        self._start_timeout(self._server.limits().idle_timeout)
        self._server.start_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parse a chunk (called by the event loop)."""
        if self._is_closed or self._is_rejected:
            return
        if not self._is_receiving:
            self._is_receiving = True
            if not self.is_busy and not self._requests:
                self._start_timeout(
                    self._server.limits().header_timeout, is_receiving=True
                )
        self._has_completed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "protocol upgrade is not supported")
        except httptools.HttpParserError as error:
            cause = error.__context__ if error.__context__ else error
            status = cause.status if isinstance(cause, _RejectedRequestError) else 400
            self._reject(status, str(cause))
        if not self._is_rejected:
            self._limit_size(len(data))
        if len(self._requests) >= MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()

    def _limit_size(self, added_bytes: int) -> None:
        """Reject a head without end, and count what is held of requests."""
        is_in_head = self._is_in_message and not self._has_head
        # The parser doesn't tell where the head begins, behind another request.
        if is_in_head and not self._has_completed:
            self._head_bytes += added_bytes
            limit = self._header_limit + HEADER_SLACK_BYTES
            if self._head_bytes > limit:
                self._reject(431, f"request head exceeds {limit} bytes")
                return
        self._update_budget(added_bytes if is_in_head and self._has_completed else 0)

    def _update_budget(self, uncounted_bytes: int = 0) -> None:
        held_bytes = self._head_bytes + len(self._body) + self._queued_bytes
        self._server.receive_budget.set_size(
            self._cut_off, held_bytes + uncounted_bytes
        )

    def _cut_off(self) -> None:
        """Refuse the requests that have not been started, to release their memory."""
        self._requests.clear()
        self._queued_bytes = 0
        self._reject(
            503, "requests exceed the memory for them", NO_MEMORY_RETRY_SECONDS
        )

    @property
    def is_in_use(self) -> bool:
        """Return whether a request or its reply is under way on the connection."""
        return (
            self.is_busy
            or bool(self._requests)
            or self._is_receiving
            or self._transport.is_closing()
        )

    def eof_received(self) -> None:
        """Treat end of stream as a disconnected caller (called by the event loop)."""
        self._cancel_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress (called by the event loop)."""
        self._server.connections.discard(self)
        self._discard_message()
        self._queued_bytes = 0
        self._requests.clear()
        self._update_budget()
        self._cancel_request()

    def pause_writing(self) -> None:
        """Start no further request (called by the event loop)."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Go on with the queued requests (called by the event loop)."""
        self._is_writing_paused = False
        self._wake.set()

    def _cancel_request(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()
        self._wake.set()

    def close(self) -> None:
        """Close the connection after the buffered data has been sent."""
        self._is_closed = True
        self._transport.close()
        self._wake.set()

    def stop_reading(self) -> None:
        """Read no further requests, and close the connection if none is in progress."""
        self._is_receiving = False
        if not self.is_in_use:
            self.close()
        elif not self._transport.is_closing():
            self._transport.pause_reading()

    async def run(self) -> None:
        """Serve queued requests in order until the connection is closed."""
        try:
            while not self._is_closed:
                if not self._requests or self._is_writing_paused:
                    self._wake = anyio.Event()
                    await self._wake.wait()
                    continue
                await self._serve(*self._requests.popleft())
        finally:
            self._stop_timer()
            self._transport.close()

    async def _serve(self, queued: CallerRequest | Reply, keeps_alive: bool) -> None:
        self._stop_timer()
        if isinstance(queued, Reply):
            self._write(queued, is_last=True)
            return
        self._queued_bytes -= REQUEST_BYTES + len(queued.body)
        self._update_budget()
        self.is_busy = True
        reply = None
        with anyio.CancelScope() as self._cancel_scope:
            reply = await self._server.handler(queued)
        self._cancel_scope = None
        self.is_busy = False
        if reply is None or self._is_closed:
            return
        is_last = not keeps_alive or (self._server.is_leaving and not self._requests)
        self._write(reply, is_head=queued.method == "HEAD", is_last=is_last)
        has_room = len(self._requests) < MAX_QUEUED_REQUESTS
        if has_room and not (self._is_closed or self._server.has_stopped_reading):
            self._transport.resume_reading()
        self._start_timeout(self._server.limits().idle_timeout)

    def _write(self, reply: Reply, *, is_head: bool = False, is_last: bool) -> None:
        self._transport.write(encode_reply(reply, is_head=is_head, is_last=is_last))
        if is_last:
            self.close()
        elif self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._is_closed = True
            self._transport.abort()

    def _reject(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        """Reply to what is incomplete, and read no more (`retry_after` in seconds)."""
        self._is_rejected = True
        self._discard_message()
        self._update_budget()
        self._server.on_rejected(status, reason)
        reply = Reply(status, retry_after=retry_after, outcome="bad-request")
        self._requests.append((reply, False))
        self._wake.set()

    def _discard_message(self) -> None:
        self._head_bytes = 0
        self._headers = []
        self._target = b""
        self._body = bytearray()

    def _start_timeout(self, seconds: float, *, is_receiving: bool = False) -> None:
        self._stop_timer()

        def expire() -> None:
            if self.is_busy or (self._requests and not self._is_writing_paused):
                return
            if is_receiving:
                self._reject(
                    408, "request was not received completely within the header timeout"
                )
            else:
                self.close()

        self._timer = self._server.timers.at(
            self._server.timers.now() + seconds, expire
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def on_message_begin(self) -> None:
        """Reset the state for a new request (called by the parser)."""
        self._is_in_message = True
        self._has_head = False
        self._header_bytes = 0
        self._discard_message()

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the request target (called by the parser)."""
        self._target += url
        self._check_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header, but no trailer (called by the parser)."""
        if self._has_head:
            return
        self._headers.append((name, value))
        if len(self._headers) > MAX_HEADERS:
            raise _RejectedRequestError(
                431, f"request has more than {MAX_HEADERS} headers"
            )
        # The separator ": " and the line break take 4 bytes.
        self._check_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Validate the host and framing headers (called by the parser)."""
        self._has_head = True
        # Must be read here: later, the parser already reports on the next request.
        self._keeps_alive = self._parser.should_keep_alive()
        names = [name.lower() for name, _ in self._headers]
        if names.count(b"host") != 1:
            raise _RejectedRequestError(
                400, "request must have exactly one Host header"
            )
        if b"transfer-encoding" in names and b"content-length" in names:
            raise _RejectedRequestError(
                400, "request has both Transfer-Encoding and Content-Length headers"
            )
        if names.count(b"content-length") > 1:
            raise _RejectedRequestError(
                400, "request has several Content-Length headers"
            )
        if b"expect" in names and not self.is_busy and not self._requests:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body (called by the parser)."""
        self._body += body
        limit = self._server.limits().body_bytes
        if len(self._body) > limit:
            raise _RejectedRequestError(413, f"request body exceeds {limit} bytes")

    def on_message_complete(self) -> None:
        """Queue the complete request (called by the parser)."""
        self._is_receiving = False
        self._is_in_message = False
        self._has_completed = True
        conventions = self._server.conventions
        by_name = {name.lower(): value for name, value in self._headers}
        now = self._server.timers.now()
        deadline = _parse_milliseconds(
            by_name.get(conventions.deadline_ms.lower(), b"")
        )
        request = CallerRequest(
            attempt_id=by_name.get(conventions.attempt_id.lower(), b"").decode(
                "latin-1"
            ),
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            host=by_name[b"host"].decode("latin-1").partition(":")[0].lower(),
            headers=forwardable_headers(
                self._headers,
                frozenset(
                    {
                        conventions.deadline_ms.lower(),
                        conventions.expected_server.lower(),
                    }
                ),
            ),
            body=bytes(self._body),
            received_at=now,
            deadline=None if deadline is None else now + deadline,
            caller_ip=self._caller_ip,
        )
        self._discard_message()
        self._requests.append((request, self._keeps_alive))
        self._queued_bytes += REQUEST_BYTES + len(request.body)
        self._wake.set()

    def _check_header_bytes(self, length: int) -> None:
        self._header_bytes += length
        limit = self._header_limit
        if self._header_bytes > limit + HEADER_SLACK_BYTES:
            raise _RejectedRequestError(431, f"request headers exceed {limit} bytes")

    @property
    def _header_limit(self) -> int:
        return max(self._server.limits().header_bytes, MIN_HEADER_LIMIT_BYTES)


class _RejectedRequestError(Exception):
    """Report a request that violates the protocol or the limits."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def _parse_milliseconds(milliseconds: bytes) -> float | None:
    """Return a time in milliseconds as seconds, or None if it is not a number.

    >>> _parse_milliseconds(b"1500")
    1.5
    >>> _parse_milliseconds(b"soon") is None
    True
    """
    try:
        return max(0.0, float(milliseconds) / 1000)
    except ValueError:
        return None
