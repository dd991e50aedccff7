"""Connection pool for one server, with a connection limit and idle expiry."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum

import anyio

from crocusbay.state import Cause, NotRun, split_address
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.protocol.http_conventions import HttpConventions
from crocusbay_gateway.state import ServerStatement
from crocusbay_gateway.transport.receive_budget import ReceiveBudget
from crocusbay_gateway.transport.server_connection import Exchange, ServerConnection

# An exchange that must not be repeated uses only connections idle for less than this: a
# server may close an older one just as the request is sent, and a new connection costs
# only a few milliseconds.
FRESH_IDLE_SECONDS = 1.0
# Subtracted from the idle timeout that a server announces, to allow for both directions
# of a slow link.
IDLE_MARGIN_SECONDS = 0.5
DEFAULT_IDLE_SECONDS = 10.0
# Well above the duration of a handshake; a lost SYN is retransmitted only later.
CONNECT_TIMEOUT_SECONDS = 0.5
# A connection is of no use after the deadline of its exchange; it is closed after this
# grace period.
DEADLINE_GRACE_SECONDS = 0.05
MAX_QUEUED_EXCHANGES = 64
# The other connections to a server that has crashed are closed within this time.
CHECK_DELAY_SECONDS = 0.01


class Listening(Enum):
    """Result of a connection attempt: whether a process listens at the address."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ServerPool:
    """Send exchanges over connections to one address.

    `connection_limit` is the number of connections that this host may open, its part of
    the limit that the server has for all hosts. `on_connect` is called with whether a
    connection could be opened, `on_statement` with the head of each response, and
    `on_bytes` with the bytes that are sent and received.
    """

    def __init__(
        self,
        address: str,
        connection_limit: int,
        conventions: HttpConventions,
        timers: TimerService,
        spawn: Callable,
        receive_budget: ReceiveBudget,
        on_connect: Callable[[bool], None] = lambda is_open: None,
        on_statement: Callable[[ServerStatement], None] = lambda statement: None,
        on_bytes: Callable[[int], None] | None = None,
    ) -> None:
        self.address = address
        self.connection_limit = connection_limit
        self.connections_opened = 0
        self._conventions = conventions
        self._timers = timers
        self._spawn = spawn
        self._receive_budget = receive_budget
        self._on_connect = on_connect
        self._on_statement = on_statement
        self._on_bytes = on_bytes
        self._idle: list[ServerConnection] = []
        self._open: set[ServerConnection] = set()
        self._queue: deque[Exchange] = deque()
        self._connecting = 0
        self._is_closed = False

    @property
    def has_capacity(self) -> bool:
        """Return whether a connection is idle or may be opened."""
        return (
            bool(self._idle)
            or len(self._open) + self._connecting < self.connection_limit
        )

    @property
    def is_closed(self) -> bool:
        """Return whether the server is no longer used."""
        return self._is_closed

    @property
    def has_connection(self) -> bool:
        """Return whether at least one connection is open."""
        return bool(self._open)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections and connection attempts."""
        return len(self._open) + self._connecting

    def submit(self, exchange: Exchange) -> None:
        """Send an exchange on an idle connection, or queue it for the next one."""
        if self._is_closed:
            exchange.finish(NotRun(Cause.LEAVING))
            return
        connection = self._pop_idle(exchange)
        if connection is not None:
            self._send(connection, exchange)
            return
        if len(self._queue) >= MAX_QUEUED_EXCHANGES:
            exchange.finish(NotRun(Cause.NO_CONNECTION))
            return
        self._queue.append(exchange)
        self._open_if_needed()

    def check_listening(self, on_result: Callable[[Listening], None]) -> None:
        """Report whether a server accepts a connection, which may then be used.

        A server that is in use, with as many connections as this host may open, counts
        as listening.
        """
        self._timers.at(
            self._timers.now() + CHECK_DELAY_SECONDS,
            lambda: self._check_listening(on_result),
        )

    def _check_listening(self, on_result: Callable[[Listening], None]) -> None:
        if not self._is_closed and len(self._open) >= self.connection_limit:
            on_result(Listening.ACCEPTED)
        else:
            self.probe(on_result)

    def probe(self, on_result: Callable[[Listening], None]) -> None:
        """Open a connection and report the result.

        One that exceeds the limit is closed at once, any other one may be used.
        """

        async def check() -> None:
            on_result(await self._connect())

        self._connecting += 1
        self._spawn(check)

    def close(self) -> None:
        """Fail queued exchanges and let those in progress finish."""
        self._is_closed = True
        for connection in list(self._idle):
            connection.close()
        self.fail_queued(Cause.LEAVING)

    def abort(self) -> None:
        """Close every connection immediately."""
        self.close()
        for connection in list(self._open):
            connection.close(Cause.RESET)

    def close_idle(self) -> None:
        """Close the idle connections, such as after a time-out on another one."""
        for connection in list(self._idle):
            connection.close()

    def _pop_idle(self, exchange: Exchange) -> ServerConnection | None:
        """Return the idle connection used last that may carry an exchange, if any.

        If none may and no other can be opened, an idle one is closed for it.
        """
        unsuitable: list[ServerConnection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if self._is_stale(connection, exchange):
                connection.close()
            elif connection.may_carry(exchange):
                found = connection
            else:
                unsuitable.append(connection)
        self._idle += reversed(unsuitable)
        if (
            found is None
            and unsuitable
            and self.open_connections >= (self.connection_limit)
        ):
            unsuitable[-1].close()
        return found

    def _is_stale(self, connection: ServerConnection, exchange: Exchange) -> bool:
        """Return whether the server may be closing an idle connection."""
        max_idle = connection.idle_timeout
        max_idle = DEFAULT_IDLE_SECONDS if max_idle is None else max_idle
        max_idle -= IDLE_MARGIN_SECONDS
        if exchange.needs_fresh_connection:
            max_idle = min(max_idle, FRESH_IDLE_SECONDS)
        idle_time = self._timers.now() - connection.last_used_at
        return connection.is_closed or idle_time >= max_idle

    def _send(self, connection: ServerConnection, exchange: Exchange) -> None:
        connection.send(exchange)
        connection.timer = self._timers.at(
            exchange.deadline + DEADLINE_GRACE_SECONDS,
            lambda: self._close_overdue(connection, exchange),
        )

    def _close_overdue(self, connection: ServerConnection, exchange: Exchange) -> None:
        if connection.current_exchange is exchange:
            connection.close(Cause.SILENT)
            self.close_idle()

    def _open_if_needed(self) -> None:
        while (
            self._connecting < len(self._queue)
            and len(self._open) + self._connecting < self.connection_limit
        ):
            self._connecting += 1
            self._spawn(self._connect)

    async def _connect(self) -> Listening:
        """Open a connection; return whether the server accepted it."""
        ip, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        self._conventions,
                        self._on_statement,
                        self._on_idle,
                        self._on_lost,
                        self._timers.now,
                        self._receive_budget,
                        self._on_bytes,
                    ),
                    ip,
                    port,
                )
        except (OSError, TimeoutError) as error:
            self._connecting -= 1
            self._on_connect(False)
            if not self._open and not self._connecting:
                self.fail_queued(Cause.CONNECT_FAILED)
            is_refused = isinstance(error, ConnectionRefusedError)
            return Listening.REFUSED if is_refused else Listening.UNKNOWN
        self._connecting -= 1
        self.connections_opened += 1
        self._on_connect(True)
        if connection.is_closed:
            self._open_if_needed()
            return Listening.ACCEPTED
        self._open.add(connection)
        self._on_idle(connection)
        return Listening.ACCEPTED

    def _on_idle(self, connection: ServerConnection) -> None:
        connection.stop_timer()
        while self._queue:
            exchange = self._queue.popleft()
            if exchange.is_done:
                continue
            if exchange.deadline <= self._timers.now():
                exchange.finish(NotRun(Cause.DEADLINE))
                continue
            if not connection.may_carry(exchange):
                self._queue.appendleft(exchange)
                connection.close()
                return
            self._send(connection, exchange)
            return
        if self._is_closed or len(self._open) > self.connection_limit:
            connection.close()
            return
        self._idle.append(connection)

    def _on_lost(self, connection: ServerConnection) -> None:
        connection.stop_timer()
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._queue and not self._is_closed:
            self._open_if_needed()

    def fail_queued(self, cause: Cause) -> None:
        """Fail the exchanges that wait for a connection."""
        queued, self._queue = self._queue, deque()
        for exchange in queued:
            exchange.finish(NotRun(cause))
