"""Connections to one upstream server: a share of its limit, reused and proved."""

import math
from collections import deque

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

MAX_WAITING = 32
CONNECT_PAUSE_SECONDS = 0.1
PROOF_SECONDS = 1.0
PING_DEADLINE_SECONDS = 0.06
PING_PATIENCE_SECONDS = 0.02
PING_TARGET = "/health"


class UpstreamPool:
    """Hand exchanges to connections; each connection has a task that reads."""

    def __init__(
        self,
        upstream: Upstream,
        place: str,
        share: int,
        timers: TimerService,
        clock: HybridClock,
    ) -> None:
        self.upstream = upstream
        self.share = share
        self.pings = 0
        self.closed_by_cause: dict[Cause, int] = {}
        self._place = place
        self._timers = timers
        self._clock = clock
        self._waiting: deque[Exchange] = deque()
        self._waiting_fresh: deque[Exchange] = deque()
        self._idle: list[UpstreamConnection] = []
        self._connections: set[UpstreamConnection] = set()
        self._connecting = 0
        self._connect_after = 0.0
        self._closed = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def open_connections(self) -> int:
        """Return the number of connections open or being opened."""
        return len(self._connections)

    @property
    def connecting(self) -> int:
        """Return the number of connections being opened."""
        return self._connecting

    @property
    def waiting(self) -> int:
        """Return the number of exchanges that wait for a connection."""
        return len(self._waiting) + len(self._waiting_fresh)

    @property
    def has_room(self) -> bool:
        """Return whether a connection is free or may be opened."""
        return bool(self._idle) or len(self._connections) < self.share

    async def run(self) -> None:
        """Hold the connections until closed; open one ahead of the first request."""
        async with anyio.create_task_group() as self._tasks:
            self._open_connection()
            self._pump()
            await self._closed.wait()

    def submit(self, exchange: Exchange) -> None:
        """Queue an exchange; a full queue refuses it at once."""
        if self._closed.is_set():
            exchange.fail(Cause.LEAVING)
            return
        if len(self._waiting) >= MAX_WAITING:
            exchange.fail(Cause.NO_CONNECTION)
            return
        self._waiting.append(exchange)
        self._pump()

    def submit_fresh(self, exchange: Exchange) -> None:
        """Send an exchange on a new connection, in place of an idle one if need be."""
        if self._tasks is None or self._closed.is_set():
            exchange.fail(Cause.LEAVING)
            return
        if len(self._connections) >= self.share and self._idle:
            self._drop_idle()
        if len(self._connections) >= self.share:
            self.submit(exchange)
            return
        self._waiting_fresh.append(exchange)
        self._open_connection()

    def drop_unheard(self, since: float) -> None:
        """Close the connections, idle or in use, that were last heard before then.

        One that carries an order stays: closing it would leave the order's fate
        unknown, and its own patience ends it if it is silent.
        """
        for connection in list(self._connections):
            is_unheard = connection.answers > 0 and connection.last_heard < since
            if is_unheard and not connection.carries_order:
                connection.close(Cause.SILENT)
        self._idle = [each for each in self._idle if not each.is_closing]

    def set_share(self, share: int) -> None:
        """Change how many connections may be open; close idle ones beyond it."""
        self.share = share
        while self._idle and len(self._connections) > share:
            self._drop_idle()

    def close_if_overdue(self, exchange: Exchange) -> None:
        """Close the connection that still waits for an answer when it is overdue."""
        overdue_at = exchange.sub.deadline + exchange.sub.patience
        self._timers.at(overdue_at, lambda: self._close_stuck(exchange))

    def close(self) -> None:
        """Refuse what waits and let the requests under way end."""
        self._closed.set()
        self._fail_waiting(Cause.LEAVING)
        for connection in list(self._connections):
            if connection.current is None:
                connection.close(Cause.CANCELLED)

    def _pump(self) -> None:
        while self._waiting and self._idle:
            exchange = self._waiting.popleft()
            if exchange.is_done:
                continue
            if exchange.sub.deadline <= self._timers.now():
                exchange.fail(Cause.DEADLINE)
                continue
            self._assign(self._idle.pop(), exchange)
        if self._tasks is None or self._closed.is_set():
            return
        if self._timers.now() < self._connect_after:
            self._fail_unconnected(Cause.CONNECT_FAILED)
            return
        while (
            self._connecting < len(self._waiting)
            and len(self._connections) < self.share
        ):
            self._open_connection()

    def _assign(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        is_proved = self._timers.now() - connection.last_heard < PROOF_SECONDS
        if not exchange.sub.is_idempotent and not is_proved:
            exchange = self._ping_before(exchange)
        connection.current = exchange
        self._write(connection, exchange)

    def _ping_before(self, held: Exchange) -> Exchange:
        """Return a ping that proves a connection before a non-idempotent request."""

        def pinged(_: Exchange, verdict: Verdict) -> None:
            if isinstance(verdict, MayHaveRun) and verdict.cause is Cause.SILENT:
                self.drop_unheard(pinged_at)
            if not held.is_done:
                self._waiting.appendleft(held)
            if not isinstance(verdict, Ran):
                self._pump()

        self.pings += 1
        pinged_at = self._timers.now()
        sub = SubRequest(
            f"{held.sub.request}.ping",
            "GET",
            PING_TARGET,
            pinged_at + PING_DEADLINE_SECONDS,
            patience=PING_PATIENCE_SECONDS,
        )
        ping = Exchange(sub, pinged)
        self.close_if_overdue(ping)
        return ping

    def _write(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        remaining = exchange.sub.deadline - self._timers.now()
        data = encode_request(
            exchange.sub,
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
            self._connect_after = self._timers.now() + CONNECT_PAUSE_SECONDS
            self._fail_unconnected(failure)
        cause = failure or connection.close_cause
        self.closed_by_cause[cause] = self.closed_by_cause.get(cause, 0) + 1
        self._pump()

    def _on_idle(self, connection: UpstreamConnection) -> None:
        if connection.answers == 0:
            self._connecting -= 1
            if self._assign_fresh(connection):
                return
        if connection.is_closing:
            return
        if self._closed.is_set() or len(self._connections) > self.share:
            connection.close(Cause.CANCELLED)
            return
        self._idle.append(connection)
        self._pump()

    def _assign_fresh(self, connection: UpstreamConnection) -> bool:
        while self._waiting_fresh:
            exchange = self._waiting_fresh.popleft()
            if not exchange.is_done:
                self._assign(connection, exchange)
                return True
        return False

    def _drop_idle(self) -> None:
        connection = self._idle.pop()
        self._connections.discard(connection)
        connection.close(Cause.CANCELLED)

    def _close_stuck(self, exchange: Exchange) -> None:
        for connection in list(self._connections):
            if connection.current is exchange:
                connection.close(Cause.SILENT)

    def _fail_unconnected(self, cause: Cause) -> None:
        """Fail what waits for a connection when none is open, not even an old one."""
        if self._connecting == 0:
            self._fail_fresh(cause)
        if len(self._connections) == self._connecting:
            self._fail_waiting(cause)

    def _fail_fresh(self, cause: Cause) -> None:
        while self._waiting_fresh:
            self._waiting_fresh.popleft().finish(NotRun(cause))

    def _fail_waiting(self, cause: Cause) -> None:
        self._fail_fresh(cause)
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            exchange.finish(NotRun(cause))
