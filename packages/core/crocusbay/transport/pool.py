"""Pool of connections to one upstream server, limited in number for this host."""

import math
from collections import deque
from collections.abc import Callable

import anyio

from crocusbay.protocol.upstream import SubRequest, encode_request
from crocusbay.state import (
    Cause,
    HybridClock,
    MayHaveRun,
    NotRun,
    Ran,
    Upstream,
    Verdict,
)
from crocusbay.transport.connection import UpstreamConnection
from crocusbay.transport.exchange import Exchange
from crocusbay.transport.timers import TimerService

MAX_QUEUED_EXCHANGES = 32
CONNECT_RETRY_DELAY_SECONDS = 0.1
PING_AFTER_IDLE_SECONDS = 1.0
PING_DEADLINE_SECONDS = 0.06
PING_GRACE_SECONDS = 0.02
RECONNECT_PING_DEADLINE_SECONDS = 1.0
PING_TARGET = "/health"


class UpstreamPool:
    """Assign exchanges to connections, each of which has its own reader task."""

    def __init__(
        self,
        upstream: Upstream,
        place: str,
        connection_limit: int,
        timers: TimerService,
        clock: HybridClock,
    ) -> None:
        self.upstream = upstream
        self.connection_limit = connection_limit
        self.pings = 0
        self.closed_by_cause: dict[Cause, int] = {}
        self._place = place
        self._timers = timers
        self._clock = clock
        self._queue: deque[Exchange] = deque()
        self._queue_for_new: deque[Exchange] = deque()
        self._idle: list[UpstreamConnection] = []
        self._connections: set[UpstreamConnection] = set()
        self._connecting = 0
        self._connect_after = 0.0
        self._is_reset = False
        self._closed = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open or connecting."""
        return len(self._connections)

    @property
    def connecting(self) -> int:
        """Return the number of connections that are connecting."""
        return self._connecting

    @property
    def waiting(self) -> int:
        """Return the number of exchanges waiting for a connection."""
        return len(self._queue) + len(self._queue_for_new)

    @property
    def has_capacity(self) -> bool:
        """Return whether a connection is idle or may be opened."""
        return bool(self._idle) or len(self._connections) < self.connection_limit

    async def run(self) -> None:
        """Run the connections until closed; open one before the first request."""
        async with anyio.create_task_group() as self._tasks:
            self._open_connection()
            self._dispatch()
            await self._closed.wait()

    def submit(self, exchange: Exchange) -> None:
        """Queue an exchange; it fails at once if the queue is full."""
        if self._closed.is_set():
            exchange.fail(Cause.LEAVING)
            return
        if len(self._queue) >= MAX_QUEUED_EXCHANGES:
            exchange.fail(Cause.NO_CONNECTION)
            return
        self._queue.append(exchange)
        self._dispatch()

    def submit_on_new_connection(self, exchange: Exchange) -> None:
        """Send an exchange on a new connection.

        At the limit an idle connection is closed for it; if none is idle, the exchange
        is queued as by `submit`.
        """
        if self._tasks is None or self._closed.is_set():
            exchange.fail(Cause.LEAVING)
            return
        if len(self._connections) >= self.connection_limit and self._idle:
            self._close_idle()
        if len(self._connections) >= self.connection_limit:
            self.submit(exchange)
            return
        self._queue_for_new.append(exchange)
        self._open_connection()

    def close_silent(self, since: float) -> None:
        """Close the connections, idle or in use, whose last response precedes `since`.

        One that carries an order stays open: closing it would leave unknown whether
        the order ran, and its own `grace` bounds how long it may stay silent.
        """
        for connection in list(self._connections):
            is_silent = (
                connection.response_count > 0 and connection.last_response_at < since
            )
            if is_silent and not connection.carries_non_idempotent:
                connection.close(Cause.SILENT)
        self._idle = [each for each in self._idle if not each.is_closing]

    def set_connection_limit(self, limit: int) -> None:
        """Change the limit of open connections; close idle ones above it."""
        self.connection_limit = limit
        while self._idle and len(self._connections) > limit:
            self._close_idle()

    def close_when_overdue(self, exchange: Exchange) -> None:
        """Close the connection if it still carries the exchange when it is overdue."""
        overdue_at = exchange.sub_request.deadline + exchange.sub_request.grace
        self._timers.at(overdue_at, lambda: self._close_connection_of(exchange))

    def close(self) -> None:
        """Fail the queued exchanges; let the requests in flight finish."""
        self._closed.set()
        self._fail_queued(Cause.LEAVING)
        for connection in list(self._connections):
            if connection.current_exchange is None:
                connection.close(Cause.CANCELLED)

    def _dispatch(self) -> None:
        while self._queue and self._idle:
            exchange = self._queue.popleft()
            if exchange.is_done:
                continue
            if exchange.sub_request.deadline <= self._timers.now():
                exchange.fail(Cause.DEADLINE)
                continue
            self._assign(self._idle.pop(), exchange)
        if self._tasks is None or self._closed.is_set():
            return
        if self._timers.now() < self._connect_after:
            self._fail_unconnected(Cause.CONNECT_FAILED)
            return
        while (
            self._connecting < len(self._queue)
            and len(self._connections) < self.connection_limit
        ):
            self._open_connection()

    def _assign(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        is_recently_used = (
            self._timers.now() - connection.last_response_at < PING_AFTER_IDLE_SECONDS
        )
        if self._is_reset and connection.response_count == 0:
            exchange = self._make_reconnect_ping(connection, exchange)
        elif not exchange.sub_request.is_idempotent and not is_recently_used:
            exchange = self._make_ping(exchange)
        connection.current_exchange = exchange
        self._write(connection, exchange)

    def _make_ping(self, deferred: Exchange) -> Exchange:
        """Return a ping that checks the connection before a non-idempotent request."""

        def on_ping_verdict(_: Exchange, verdict: Verdict) -> None:
            if isinstance(verdict, MayHaveRun) and verdict.cause is Cause.SILENT:
                self.close_silent(pinged_at)
            if not deferred.is_done:
                self._queue.appendleft(deferred)
            if not isinstance(verdict, Ran):
                self._dispatch()

        pinged_at = self._timers.now()
        return self._create_ping(deferred, PING_DEADLINE_SECONDS, on_ping_verdict)

    def _make_reconnect_ping(
        self, connection: UpstreamConnection, deferred: Exchange
    ) -> Exchange:
        """Return a ping for a new connection to a server that reset the last one.

        A server that is stopping may reset this one as well, and a request on it would
        be suspected of having crashed the server.
        """

        def on_ping_verdict(_: Exchange, verdict: Verdict) -> None:
            if connection.is_closing:
                deferred.finish(NotRun(Cause.CONNECT_FAILED))
            else:
                self._queue.appendleft(deferred)

        return self._create_ping(
            deferred, RECONNECT_PING_DEADLINE_SECONDS, on_ping_verdict
        )

    def _create_ping(
        self,
        deferred: Exchange,
        seconds: float,
        on_verdict: Callable[[Exchange, Verdict], None],
    ) -> Exchange:
        self.pings += 1
        sub_request = SubRequest(
            f"{deferred.sub_request.request_id}.ping",
            "GET",
            PING_TARGET,
            self._timers.now() + seconds,
            grace=PING_GRACE_SECONDS,
        )
        ping = Exchange(sub_request, on_verdict)
        self.close_when_overdue(ping)
        return ping

    def _write(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        remaining = exchange.sub_request.deadline - self._timers.now()
        data = encode_request(
            exchange.sub_request,
            host=self.upstream.address,
            place=self._place,
            stamp=str(self._clock.now()),
            remaining_ms=math.ceil(remaining * 1000),
        )
        connection.send(exchange, data)

    def _open_connection(self) -> None:
        connection = UpstreamConnection(
            self.upstream.address, self._clock, self._on_idle, self._timers.now
        )
        self._connections.add(connection)
        self._connecting += 1
        self._tasks.start_soon(self._run_connection, connection)

    async def _run_connection(self, connection: UpstreamConnection) -> None:
        failure = await connection.run()
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if failure:
            self._connecting -= 1
            self._connect_after = self._timers.now() + CONNECT_RETRY_DELAY_SECONDS
            self._fail_unconnected(failure)
        elif connection.close_cause is Cause.RESET:
            self._is_reset = True
        cause = failure or connection.close_cause
        self.closed_by_cause[cause] = self.closed_by_cause.get(cause, 0) + 1
        self._dispatch()

    def _on_idle(self, connection: UpstreamConnection) -> None:
        if connection.response_count == 0:
            self._connecting -= 1
            if self._assign_to_new(connection):
                return
        else:
            self._is_reset = False
        if connection.is_closing:
            return
        if self._closed.is_set() or len(self._connections) > self.connection_limit:
            connection.close(Cause.CANCELLED)
            return
        self._idle.append(connection)
        self._dispatch()

    def _assign_to_new(self, connection: UpstreamConnection) -> bool:
        while self._queue_for_new:
            exchange = self._queue_for_new.popleft()
            if not exchange.is_done:
                self._assign(connection, exchange)
                return True
        return False

    def _close_idle(self) -> None:
        connection = self._idle.pop()
        self._connections.discard(connection)
        connection.close(Cause.CANCELLED)

    def _close_connection_of(self, exchange: Exchange) -> None:
        for connection in list(self._connections):
            if connection.current_exchange is exchange:
                connection.close(Cause.SILENT)

    def _fail_unconnected(self, cause: Cause) -> None:
        """Fail the queued exchanges if no connection is established.

        Those that need a new connection fail if none is connecting.
        """
        if self._connecting == 0:
            self._fail_queue_for_new(cause)
        if len(self._connections) == self._connecting:
            self._fail_queued(cause)

    def _fail_queue_for_new(self, cause: Cause) -> None:
        while self._queue_for_new:
            self._queue_for_new.popleft().finish(NotRun(cause))

    def _fail_queued(self, cause: Cause) -> None:
        self._fail_queue_for_new(cause)
        queued, self._queue = self._queue, deque()
        for exchange in queued:
            exchange.finish(NotRun(cause))
