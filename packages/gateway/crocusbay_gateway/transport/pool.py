"""Connections to one server: a share of its limit, reused while they are fresh."""

import asyncio
from collections import deque
from collections.abc import Callable

import anyio

from crocusbay.state import Cause, NotRun, split_address
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.protocol.dialect import Dialect
from crocusbay_gateway.transport.connection import Exchange, ServerConnection

# A new connection costs a few milliseconds; an exchange that must not be repeated pays
# that rather than meet a server that closes the idle connection at the same moment.
SOLE_IDLE_SECONDS = 1.0
# Margin to the idle time that a server announces, for both directions of a slow link.
IDLE_MARGIN_SECONDS = 0.5
DEFAULT_IDLE_SECONDS = 10.0
# Well beyond any handshake; an opening packet that is lost is sent again only later.
CONNECT_TIMEOUT_SECONDS = 0.5
# After the deadline of an exchange its connection is of no more use.
OVERDUE_SECONDS = 0.05
MAX_WAITING = 64


class ServerPool:
    """Hand exchanges to connections to one address."""

    def __init__(
        self,
        address: str,
        share: int,
        dialect: Dialect,
        timers: TimerService,
        spawn: Callable,
        on_connect: Callable[[bool], None] = lambda is_open: None,
    ) -> None:
        self.address = address
        self.share = share
        self.opened = 0
        self._dialect = dialect
        self._timers = timers
        self._spawn = spawn
        self._on_connect = on_connect
        self._idle: list[ServerConnection] = []
        self._open: set[ServerConnection] = set()
        self._waiting: deque[Exchange] = deque()
        self._connecting = 0
        self._is_closed = False

    @property
    def has_room(self) -> bool:
        """Return whether a connection is idle or may be opened."""
        return bool(self._idle) or len(self._open) + self._connecting < self.share

    @property
    def has_connection(self) -> bool:
        """Return whether the server has accepted a connection that is still open."""
        return bool(self._open)

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    def submit(self, exchange: Exchange) -> None:
        """Send an exchange now, or when a connection is free."""
        if self._is_closed:
            exchange.finish(NotRun(Cause.LEAVING))
            return
        connection = self._take_idle(exchange.is_sole)
        if connection is not None:
            self._send(connection, exchange)
            return
        if len(self._waiting) >= MAX_WAITING:
            exchange.finish(NotRun(Cause.NO_CONNECTION))
            return
        self._waiting.append(exchange)
        self._open_if_needed()

    def close(self) -> None:
        """Refuse what waits; let what is under way end."""
        self._is_closed = True
        for connection in list(self._idle):
            connection.close()
        self._fail_waiting(Cause.LEAVING)

    def abort(self) -> None:
        """End every connection at once."""
        self.close()
        for connection in list(self._open):
            connection.close(Cause.RESET)

    def drop_idle(self) -> None:
        """Close the idle connections, as after one went silent."""
        for connection in list(self._idle):
            connection.close()

    def _take_idle(self, is_sole: bool) -> ServerConnection | None:
        now = self._timers.now()
        while self._idle:
            connection = self._idle.pop()
            limit = connection.idle_limit
            limit = DEFAULT_IDLE_SECONDS if limit is None else limit
            limit -= IDLE_MARGIN_SECONDS
            if is_sole:
                limit = min(limit, SOLE_IDLE_SECONDS)
            if not connection.is_closed and now - connection.used_at < limit:
                return connection
            connection.close()
        return None

    def _send(self, connection: ServerConnection, exchange: Exchange) -> None:
        connection.send(exchange)
        connection.timer = self._timers.at(
            exchange.deadline + OVERDUE_SECONDS,
            lambda: self._close_overdue(connection, exchange),
        )

    def _close_overdue(self, connection: ServerConnection, exchange: Exchange) -> None:
        if connection.current is exchange:
            connection.close(Cause.SILENT)
            self.drop_idle()

    def _open_if_needed(self) -> None:
        while (
            self._connecting < len(self._waiting)
            and len(self._open) + self._connecting < self.share
        ):
            self._connecting += 1
            self._spawn(self._connect)

    async def _connect(self) -> None:
        ip, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        self._dialect.attempt,
                        self._dialect.signature,
                        self._on_idle,
                        self._on_lost,
                        self._timers.now,
                    ),
                    ip,
                    port,
                )
        except (OSError, TimeoutError):
            self._connecting -= 1
            self._on_connect(False)
            if not self._open and not self._connecting:
                self._fail_waiting(Cause.CONNECT_FAILED)
            return
        self._connecting -= 1
        self.opened += 1
        self._on_connect(True)
        if connection.is_closed:
            self._open_if_needed()
            return
        self._open.add(connection)
        self._on_idle(connection)

    def _on_idle(self, connection: ServerConnection) -> None:
        connection.stop_timer()
        while self._waiting:
            exchange = self._waiting.popleft()
            if exchange.is_done:
                continue
            if exchange.deadline <= self._timers.now():
                exchange.finish(NotRun(Cause.DEADLINE))
                continue
            self._send(connection, exchange)
            return
        if self._is_closed or len(self._open) > self.share:
            connection.close()
            return
        self._idle.append(connection)

    def _on_lost(self, connection: ServerConnection) -> None:
        connection.stop_timer()
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and not self._is_closed:
            self._open_if_needed()

    def _fail_waiting(self, cause: Cause) -> None:
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            exchange.finish(NotRun(cause))
