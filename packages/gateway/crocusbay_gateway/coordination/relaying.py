"""Relaying: messages by which hosts gather parts for each other."""

import random
from collections.abc import Callable, Sequence
from itertools import count

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay.transport.timers import Timer, TimerService
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.relay import (
    BACK_OFF_SECONDS,
    MAX_CONNECTIONS,
    MAX_OVERDUE,
    OVERDUE_SECONDS,
    ROUND_SECONDS,
    choose_relays,
)
from crocusbay_gateway.log import DecisionLog
from crocusbay_gateway.protocol import (
    RelayAnswer,
    RelayedSend,
    RelayLeave,
    RelayQuery,
)
from crocusbay_gateway.state import CallerRequest, HostStatus, ServerAnswer
from crocusbay_gateway.transport import Exchange, FrameConnection, connect_relay

SendTo = tuple[RelayedSend, Exchange]


class RelayedExchange:
    """Stand for the connection that carries one exchange of a call."""

    __slots__ = ("current", "_call", "_send")

    def __init__(self, call: "RelayCall", send: int, exchange: Exchange) -> None:
        self.current: Exchange | None = exchange
        self._call = call
        self._send = send

    def close(self, cause: Cause = Cause.CANCELLED) -> None:
        """End the exchange; the other host is told to leave its server."""
        exchange = self.take()
        if exchange is not None:
            self._call.leave(self._send)
            exchange.fail(cause)

    def take(self) -> Exchange | None:
        """Return the exchange if it has not ended, and let go of it."""
        exchange, self.current = self.current, None
        return exchange


class RelayCall:
    """Hold one query until all of its sends have ended."""

    def __init__(
        self,
        number: int,
        exchanges: Sequence[Exchange],
        now: float,
        on_left: Callable[["RelayCall"], None],
    ) -> None:
        self.number = number
        self.overdue: Timer | None = None
        self._on_left = on_left
        self._left: list[int] = []
        self._carriers = [
            RelayedExchange(self, send, exchange)
            for send, exchange in enumerate(exchanges)
        ]
        for carrier, exchange in zip(self._carriers, exchanges, strict=True):
            exchange.connection = carrier
            exchange.is_sent = True
            exchange.sent_at = now

    @property
    def is_heard(self) -> bool:
        """Return whether the other host has answered anything."""
        return self.overdue is None

    @property
    def is_done(self) -> bool:
        """Return whether every send has ended."""
        return all(carrier.current is None for carrier in self._carriers)

    def take(self, answer: RelayAnswer) -> None:
        """Hand out what has come."""
        self.stop_timer()
        for part in answer.parts:
            exchange = self._take(part.send)
            if exchange is not None:
                exchange.took = part.elapsed + ROUND_SECONDS
                exchange.finish(
                    Ran(ServerAnswer(200, b"", (), part.records, part.signature))
                )
        for failure in answer.failures:
            exchange = self._take(failure.send)
            if exchange is not None:
                exchange.is_sent = failure.is_sent
                kind = MayHaveRun if failure.may_have_run else NotRun
                exchange.finish(kind(failure.cause, detail=failure.detail))

    def leave(self, send: int) -> None:
        """Note a send that is of no use any more; those of one moment go together."""
        self._left.append(send)
        if len(self._left) == 1:
            self._on_left(self)

    def take_left(self) -> tuple[int, ...]:
        """Return the sends that were left and not told of yet."""
        left, self._left = self._left, []
        return tuple(left)

    def fail(self) -> None:
        """End what is left: the other host may have sent it."""
        self.stop_timer()
        for carrier in self._carriers:
            exchange = carrier.take()
            if exchange is not None:
                exchange.fail(Cause.CANCELLED, "relay lost")

    def stop_timer(self) -> None:
        """Cancel the timer of the first answer."""
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None

    def _take(self, send: int) -> Exchange | None:
        return self._carriers[send].take() if send < len(self._carriers) else None


class Relay:
    """Hold the connections to one host that gathers for this one.

    Each carries one query at a time: a packet that is lost holds up one alone.
    """

    def __init__(
        self,
        status: HostStatus,
        timers: TimerService,
        spawn: Callable,
        on_lost: Callable[["Relay", str], None],
    ) -> None:
        self.name = status.name
        self.address = status.peer_address
        self._timers = timers
        self._spawn = spawn
        self._on_lost = on_lost
        self._numbers = count()
        self._idle: list[FrameConnection] = []
        self._call_by_connection: dict[FrameConnection, RelayCall] = {}
        self._connecting = 0
        # First answers overdue in a row.
        self._overdue = 0

    def is_open(self) -> bool:
        """Return whether a connection is free; if not, open one for later."""
        if self._idle:
            return True
        if self._connecting + len(self._call_by_connection) < MAX_CONNECTIONS:
            self._connecting += 1
            self._spawn(self._connect)
        return False

    def submit(
        self,
        request: CallerRequest,
        sends: Sequence[SendTo],
        remaining: float,
        flush_after: float,
        top: int,
    ) -> RelayCall:
        """Have a request sent; each exchange gets its verdict (seconds)."""
        connection = self._idle.pop()
        now = self._timers.now()
        call = RelayCall(
            next(self._numbers),
            [exchange for _, exchange in sends],
            now,
            lambda call: self._timers.at(
                self._timers.now(), lambda: self._tell_left(connection, call)
            ),
        )
        self._call_by_connection[connection] = call
        call.overdue = self._timers.at(
            now + flush_after + ROUND_SECONDS + OVERDUE_SECONDS,
            lambda: self._end_overdue(connection),
        )
        connection.send(
            RelayQuery(
                call.number,
                request.attempt,
                request.method,
                request.target,
                request.host,
                request.headers,
                request.body,
                max(0.0, remaining - ROUND_SECONDS / 2),
                flush_after,
                top,
                tuple(send for send, _ in sends),
            )
        )
        return call

    def close(self) -> None:
        """Close every connection."""
        for connection in [*self._idle, *self._call_by_connection]:
            connection.abort()

    async def _connect(self) -> None:
        try:
            connection = await connect_relay(self.address, self._take, self._lose)
        except (OSError, TimeoutError) as error:
            self._on_lost(self, str(error) or "no connection in time")
            return
        finally:
            self._connecting -= 1
        if not connection.is_closed:
            self._idle.append(connection)

    def _tell_left(self, connection: FrameConnection, call: RelayCall) -> None:
        """Tell the other host which sends are of no use any more."""
        connection.send(RelayLeave(call.number, call.take_left()))
        self._release_if_done(connection, call)

    def _take(self, connection: FrameConnection, answer: RelayAnswer) -> None:
        call = self._call_by_connection.get(connection)
        self._overdue = 0
        if call is None or call.number != answer.number:
            return
        call.take(answer)
        self._release_if_done(connection, call)

    def _release_if_done(self, connection: FrameConnection, call: RelayCall) -> None:
        if call.is_done and self._call_by_connection.get(connection) is call:
            call.stop_timer()
            del self._call_by_connection[connection]
            self._idle.append(connection)

    def _end_overdue(self, connection: FrameConnection) -> None:
        self._overdue += 1
        connection.abort()
        if self._overdue >= MAX_OVERDUE:
            self._on_lost(self, f"{self._overdue} answers overdue")

    def _lose(self, connection: FrameConnection) -> None:
        call = self._call_by_connection.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
        if call is not None:
            call.fail()


class Relays:
    """Hold the relays of this host by name."""

    def __init__(
        self,
        membership: Membership,
        timers: TimerService,
        log: DecisionLog,
        spawn: Callable,
    ) -> None:
        self.by_name: dict[str, Relay] = {}
        self._membership = membership
        self._timers = timers
        self._log = log
        self._spawn = spawn
        self._backed_off_until: dict[str, float] = {}

    def to(self, place: str) -> Relay | None:
        """Return a relay to a data centre with a connection free, or None."""
        now = self._timers.now()
        opened = [
            relay
            for status in choose_relays(
                self._membership.name, place, self._membership.live
            )
            if now >= self._backed_off_until.get(status.name, 0.0)
            for relay in (self._relay(status),)
            if relay.is_open()
        ]
        return random.choice(opened) if opened else None

    def _relay(self, status: HostStatus) -> Relay:
        held = self.by_name.get(status.name)
        if held is not None and held.address == status.peer_address:
            return held
        if held is not None:
            held.close()
        relay = Relay(status, self._timers, self._spawn, self._note_lost)
        self.by_name[status.name] = relay
        return relay

    def _note_lost(self, relay: Relay, reason: str) -> None:
        if self.by_name.get(relay.name) is not relay:
            return
        del self.by_name[relay.name]
        self._backed_off_until[relay.name] = self._timers.now() + BACK_OFF_SECONDS
        self._log.warning("relay-lost", peer=relay.name, reason=reason)
        relay.close()
