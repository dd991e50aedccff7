"""Relay client: connections to relays and the queries sent over them."""

import random
from collections.abc import Callable, Sequence
from itertools import count

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.relay import (
    BACKOFF_SECONDS,
    MAX_CONNECTIONS_PER_RELAY,
    MAX_CONSECUTIVE_TIMEOUTS,
    RESPONSE_GRACE_SECONDS,
    ROUND_TRIP_SECONDS,
    choose_relays,
)
from crocusbay_gateway.coordination.relay_call import RelayCall
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.protocol import (
    RelayCancel,
    RelayedSubRequest,
    RelayQuery,
    RelayResponse,
)
from crocusbay_gateway.state import CallerRequest, HostStatus
from crocusbay_gateway.transport import (
    Exchange,
    FrameConnection,
    ReceiveBudget,
    connect_relay,
)

SubRequestWithExchange = tuple[RelayedSubRequest, Exchange]


class RelayClient:
    """Manage the connections to one relay.

    Each connection carries one query at a time, so a lost packet delays only one query.
    """

    def __init__(
        self,
        status: HostStatus,
        timers: TimerService,
        spawn: Callable,
        on_lost: Callable[["RelayClient", str], None],
        budget: ReceiveBudget,
    ) -> None:
        self.name = status.name
        self.address = status.peer_address
        self._timers = timers
        self._spawn = spawn
        self._on_lost = on_lost
        self._budget = budget
        self._query_ids = count()
        self._idle_connections: list[FrameConnection] = []
        self._call_by_connection: dict[FrameConnection, RelayCall] = {}
        self._connecting_count = 0
        # Consecutive queries whose first response timed out.
        self._consecutive_timeouts = 0

    def ensure_idle_connection(self) -> bool:
        """Return whether a connection is idle; if none is, start opening one."""
        if self._idle_connections:
            return True
        if (
            self._connecting_count + len(self._call_by_connection)
            < MAX_CONNECTIONS_PER_RELAY
        ):
            self._connecting_count += 1
            self._spawn(self._connect)
        return False

    def send_query(
        self,
        request: CallerRequest,
        sub_requests: Sequence[SubRequestWithExchange],
        remaining_time: float,
        flush_after: float,
        top_k: int,
        fingerprint: str,
        *,
        merges_parts: bool,
        deliver_together: Callable[[Callable[[], None]], None],
    ) -> RelayCall:
        """Send sub-requests through the relay; their exchanges receive the verdicts.

        `remaining_time` and `flush_after` are in seconds; a connection must be idle.
        """
        connection = self._idle_connections.pop()
        now = self._timers.now()
        call = RelayCall(
            next(self._query_ids),
            [exchange for _, exchange in sub_requests],
            now,
            lambda call: self._timers.at(
                self._timers.now(), lambda: self._send_cancellations(connection, call)
            ),
            merges_parts=merges_parts,
            deliver_together=deliver_together,
        )
        self._call_by_connection[connection] = call
        call.response_timer = self._timers.at(
            now + flush_after + ROUND_TRIP_SECONDS + RESPONSE_GRACE_SECONDS,
            lambda: self._handle_timeout(connection),
        )
        call.query_bytes = connection.send(
            RelayQuery(
                call.query_id,
                request.attempt_id,
                request.method,
                request.target,
                request.host,
                request.headers,
                request.body,
                max(0.0, remaining_time - ROUND_TRIP_SECONDS / 2),
                flush_after,
                top_k,
                tuple(sub_request for sub_request, _ in sub_requests),
                fingerprint,
                merges_parts,
            )
        )
        return call

    def close(self) -> None:
        """Close every connection."""
        for connection in [*self._idle_connections, *self._call_by_connection]:
            connection.abort()

    async def _connect(self) -> None:
        try:
            connection = await connect_relay(
                self.address,
                self._handle_response,
                self._handle_disconnect,
                self._budget,
            )
        except (OSError, TimeoutError) as error:
            self._on_lost(self, str(error) or "connection attempt timed out")
            return
        finally:
            self._connecting_count -= 1
        if not connection.is_closed:
            self._idle_connections.append(connection)

    def _send_cancellations(self, connection: FrameConnection, call: RelayCall) -> None:
        """Tell the relay which sub-requests to cancel."""
        connection.send(RelayCancel(call.query_id, call.pop_cancelled_sub_requests()))
        self._release_if_done(connection, call)

    def _handle_response(
        self, connection: FrameConnection, response: RelayResponse
    ) -> None:
        call = self._call_by_connection.get(connection)
        self._consecutive_timeouts = 0
        if call is None or call.query_id != response.query_id:
            return
        call.handle_response(response)
        self._release_if_done(connection, call)

    def _release_if_done(self, connection: FrameConnection, call: RelayCall) -> None:
        if call.is_done and self._call_by_connection.get(connection) is call:
            call.cancel_response_timer()
            del self._call_by_connection[connection]
            self._idle_connections.append(connection)

    def _handle_timeout(self, connection: FrameConnection) -> None:
        self._consecutive_timeouts += 1
        connection.abort()
        if self._consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self._on_lost(
                self, f"{self._consecutive_timeouts} consecutive responses timed out"
            )

    def _handle_disconnect(self, connection: FrameConnection) -> None:
        call = self._call_by_connection.pop(connection, None)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        if call is not None:
            call.fail()


class RelayClients:
    """Manage the clients of the relays that this host uses, by host name."""

    def __init__(
        self,
        membership: Membership,
        timers: TimerService,
        log: EventLog,
        spawn: Callable,
        budget: ReceiveBudget,
    ) -> None:
        self._budget = budget
        self.by_name: dict[str, RelayClient] = {}
        self._membership = membership
        self._timers = timers
        self._log = log
        self._spawn = spawn
        self._backoff_until_by_name: dict[str, float] = {}

    def choose(self, data_centre: str) -> RelayClient | None:
        """Return a relay in the data centre that has an idle connection, or None."""
        now = self._timers.now()
        available = [
            relay
            for status in choose_relays(
                self._membership.name, data_centre, self._membership.live_hosts
            )
            if now >= self._backoff_until_by_name.get(status.name, 0.0)
            for relay in (self._get_relay(status),)
            if relay.ensure_idle_connection()
        ]
        return random.choice(available) if available else None

    def _get_relay(self, status: HostStatus) -> RelayClient:
        existing = self.by_name.get(status.name)
        if existing is not None and existing.address == status.peer_address:
            return existing
        if existing is not None:
            existing.close()
        relay = RelayClient(
            status, self._timers, self._spawn, self._handle_lost, self._budget
        )
        self.by_name[status.name] = relay
        return relay

    def _handle_lost(self, relay: RelayClient, reason: str) -> None:
        if self.by_name.get(relay.name) is not relay:
            return
        del self.by_name[relay.name]
        self._backoff_until_by_name[relay.name] = self._timers.now() + BACKOFF_SECONDS
        self._log.warning("relay-lost", peer=relay.name, reason=reason)
        relay.close()
