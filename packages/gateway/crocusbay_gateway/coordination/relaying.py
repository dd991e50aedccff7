"""Relaying: messages by which hosts gather parts for each other."""

import random
from collections.abc import Callable, Sequence
from itertools import count

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.relay import (
    BACK_OFF_SECONDS,
    MAX_CONNECTIONS,
    MAX_OVERDUE,
    OVERDUE_SECONDS,
    ROUND_SECONDS,
    choose_relays,
)
from crocusbay_gateway.coordination.relay_call import RelayCall
from crocusbay_gateway.log import DecisionLog
from crocusbay_gateway.protocol import (
    RelayAnswer,
    RelayedSend,
    RelayLeave,
    RelayQuery,
)
from crocusbay_gateway.state import CallerRequest, HostStatus
from crocusbay_gateway.transport import Exchange, FrameConnection, connect_relay

SendTo = tuple[RelayedSend, Exchange]


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
