"""Handover client: have other hosts serve requests while this one reaches no server."""

import random
from collections.abc import Iterable
from heapq import nsmallest
from itertools import count

import anyio

from crocusbay.state import Cause, MayHaveRun, NotRun, Verdict
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.protocol import HandoverCancel, HandoverReply, HandoverRequest
from crocusbay_gateway.state import CallerRequest, HostStatus, Reply
from crocusbay_gateway.transport import (
    FrameConnection,
    ReceiveBudget,
    connect_handover,
)

# Requests are spread over this many hosts, those with the least load.
MAX_TARGETS = 3
MAX_TRIES = 2
CONNECT_TIMEOUT_SECONDS = 0.3


def is_target(host: HostStatus) -> bool:
    """Return whether a host may serve requests for one that reaches no server."""
    return (
        host.accepts_handovers
        and host.is_ready
        and not host.is_leaving
        and not host.is_cut_off
    )


def choose_targets(hosts: Iterable[HostStatus]) -> list[HostStatus]:
    """Return the hosts that may serve requests for this one, in random order."""
    targets = nsmallest(
        MAX_TARGETS, filter(is_target, hosts), key=lambda host: host.load
    )
    return random.sample(targets, len(targets))


class _Pending:
    """Wait for the reply to one request on a connection."""

    def __init__(self, connection: FrameConnection) -> None:
        self.connection = connection
        self.ended = anyio.Event()
        self.reply: Reply | None = None


class _Channel:
    """Carry the requests to one host over one connection."""

    def __init__(self) -> None:
        self.connection: FrameConnection | None = None
        self.pending_by_id: dict[int, _Pending] = {}
        self.reply_count = 0
        self.lock = anyio.Lock()

    def handle_reply(self, connection: FrameConnection, message: HandoverReply) -> None:
        """Deliver a reply to the request that waits for it."""
        self.reply_count += 1
        pending = self.pending_by_id.get(message.handover_id)
        if pending is not None:
            pending.reply = message.reply
            pending.ended.set()

    def handle_disconnect(self, connection: FrameConnection) -> None:
        """Fail the requests that wait for a reply on a connection."""
        if self.connection is connection:
            self.connection = None
        for pending in self.pending_by_id.values():
            if pending.connection is connection:
                pending.ended.set()


class HandoverClient:
    """Hand requests over to other hosts; one connection to each, opened when needed."""

    def __init__(
        self,
        membership: Membership,
        log: EventLog,
        timers: TimerService,
        budget: ReceiveBudget,
    ) -> None:
        self._budget = budget
        self._membership = membership
        self._log = log
        self._timers = timers
        self._ids = count()
        self._channel_by_address: dict[str, _Channel] = {}

    @property
    def has_target(self) -> bool:
        """Return whether any host may serve requests for this one."""
        return any(map(is_target, self._membership.known_hosts))

    def close_lost(self) -> None:
        """Close the connections to hosts that are lost, and fail their requests."""
        known = {status.peer_address for status in self._membership.known_hosts}
        for address in self._channel_by_address.keys() - known:
            channel = self._channel_by_address.pop(address)
            if channel.connection is not None:
                channel.connection.abort()

    async def serve(
        self, request: CallerRequest, *, is_idempotent: bool, reply_timeout: float
    ) -> tuple[Reply | Verdict, str]:
        """Return the reply of another host, or why there is none, and the host's name.

        An idempotent request without a reply after `reply_timeout` (seconds) is handed
        over to a second host.
        """
        verdict: Verdict = NotRun(Cause.NO_UPSTREAM)
        name = ""
        targets = choose_targets(self._membership.known_hosts)
        for number, target in enumerate(targets[:MAX_TRIES], 1):
            may_retry = is_idempotent and number < min(MAX_TRIES, len(targets))
            result = await self._try(
                target, request, reply_timeout if may_retry else float("inf")
            )
            name = target.name
            if isinstance(result, Reply):
                return result, name
            self._log.info(
                "handover-failed",
                request=request.attempt_id,
                peer=target.name,
                cause=result.cause,
                has_run=result.has_run,
            )
            if isinstance(result, MayHaveRun) or isinstance(verdict, NotRun):
                verdict = result
            if isinstance(result, MayHaveRun) and not is_idempotent:
                break
        return verdict, name

    async def _try(
        self, target: HostStatus, request: CallerRequest, reply_timeout: float
    ) -> Reply | Verdict:
        channel = self._channel_by_address.setdefault(target.peer_address, _Channel())
        connection = await self._connect(channel, target)
        if connection is None:
            return NotRun(Cause.CONNECT_FAILED)
        now = self._timers.now()
        remaining_time = None if request.deadline is None else request.deadline - now
        handover_id = next(self._ids)
        pending = channel.pending_by_id[handover_id] = _Pending(connection)
        reply_count = channel.reply_count
        connection.send(
            HandoverRequest(
                handover_id,
                request.attempt_id,
                request.method,
                request.target,
                request.host,
                request.headers,
                request.body,
                request.caller_ip,
                remaining_time,
            )
        )
        if remaining_time is not None:
            reply_timeout = min(reply_timeout, remaining_time)
        try:
            with anyio.move_on_after(reply_timeout):
                await pending.ended.wait()
        finally:
            del channel.pending_by_id[handover_id]
            if not pending.ended.is_set():
                connection.send(HandoverCancel(handover_id))
        if pending.reply is not None:
            return pending.reply
        if pending.ended.is_set():
            return MayHaveRun(Cause.RESET)
        if channel.reply_count == reply_count:
            # The connection may be silent for good.
            connection.abort()
        return MayHaveRun(Cause.SILENT)

    async def _connect(
        self, channel: _Channel, target: HostStatus
    ) -> FrameConnection | None:
        """Return the open connection to a host, or None if none can be opened."""
        async with channel.lock:
            if channel.connection is not None and not channel.connection.is_closed:
                return channel.connection
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    channel.connection = await connect_handover(
                        target.peer_address,
                        channel.handle_reply,
                        channel.handle_disconnect,
                        self._budget,
                    )
            except (OSError, TimeoutError) as error:
                reason = str(error) or "connection attempt timed out"
                self._log.warning(
                    "handover-not-connected", peer=target.name, reason=reason
                )
                return None
            return channel.connection
