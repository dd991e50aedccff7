"""Handover server: serve requests of hosts that reach no server themselves."""

from collections.abc import Awaitable, Callable

import anyio

from crocusbay.state import Cause, MayHaveRun
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.refusal import reply_to_failure
from crocusbay_gateway.protocol import HandoverCancel, HandoverReply, HandoverRequest
from crocusbay_gateway.state import CallerRequest
from crocusbay_gateway.transport import MAX_FRAME_BYTES, FrameConnection

# Room for the headers of a reply and the encoding.
MAX_REPLY_BYTES = MAX_FRAME_BYTES - 64 * 1024


class HandoverServer:
    """Serve requests that other hosts hand over, until each ends or is cancelled."""

    def __init__(
        self,
        serve: Callable[[CallerRequest], Awaitable],
        timers: TimerService,
        spawn: Callable,
    ) -> None:
        self._serve = serve
        self._timers = timers
        self._spawn = spawn
        self._scopes_by_connection: dict[
            FrameConnection, dict[int, anyio.CancelScope]
        ] = {}

    def handle_message(
        self, connection: FrameConnection, message: HandoverRequest | HandoverCancel
    ) -> None:
        """Start or cancel a request."""
        scopes = self._scopes_by_connection.setdefault(connection, {})
        match message:
            case HandoverCancel(handover_id):
                scope = scopes.get(handover_id)
                if scope is not None:
                    scope.cancel()
            case HandoverRequest():
                scope = scopes[message.handover_id] = anyio.CancelScope()
                self._spawn(self._run, connection, message, scope)

    def handle_disconnect(self, connection: FrameConnection) -> None:
        """Cancel the requests of a closed connection."""
        for scope in self._scopes_by_connection.pop(connection, {}).values():
            scope.cancel()

    async def _run(
        self,
        connection: FrameConnection,
        message: HandoverRequest,
        scope: anyio.CancelScope,
    ) -> None:
        now = self._timers.now()
        remaining_time = message.remaining_time
        request = CallerRequest(
            message.attempt_id,
            message.method,
            message.target,
            message.host,
            message.headers,
            message.body,
            now,
            None if remaining_time is None else now + remaining_time,
            message.caller_ip,
        )
        try:
            with scope:
                reply = await self._serve(request)
                if len(reply.body) > MAX_REPLY_BYTES:
                    reply = reply_to_failure(MayHaveRun(Cause.PROTOCOL), 0.0)
                connection.send(HandoverReply(message.handover_id, reply))
        finally:
            scopes = self._scopes_by_connection.get(connection, {})
            scopes.pop(message.handover_id, None)
