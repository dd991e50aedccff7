"""Probes of servers: whether this host is cut off from all of them."""

import random
from collections.abc import Callable

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.registry import Registry, Server
from crocusbay_gateway.coordination.server_reachability import (
    PROBE_TIMEOUT_SECONDS,
    ROUND_INTERVAL_SECONDS,
    ReachabilityChange,
    ServerReachability,
)
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.transport import Listening


class _Round:
    """Count the results of the probes of one round."""

    def __init__(
        self,
        server_count: int,
        on_end: Callable[["_Round"], None],
    ) -> None:
        self.server_count = server_count
        self.connected = 0
        self._pending = server_count
        self._on_end = on_end
        self._has_ended = False

    def record(self, listening: Listening) -> None:
        """Record the result of one probe."""
        self._pending -= 1
        self.connected += listening is Listening.ACCEPTED
        if not self._pending:
            self.end()

    def end(self) -> None:
        """End the round; probes without a result count as failed."""
        if not self._has_ended:
            self._has_ended = True
            self._on_end(self)


class ServerProber:
    """Probe servers while there are doubts, and report each change.

    `on_change` is called after this host was cut off from all servers, or reaches them
    again.
    """

    def __init__(
        self,
        reachability: ServerReachability,
        registry: Registry,
        on_change: Callable[[], None],
        log: EventLog,
        timers: TimerService,
    ) -> None:
        self._reachability = reachability
        self._registry = registry
        self._on_change = on_change
        self._log = log
        self._timers = timers

    async def run(self) -> None:
        """Check regularly whether to probe servers, until cancelled."""
        async for now in self._timers.every(ROUND_INTERVAL_SECONDS / 2):
            count = self._reachability.probe_count(now)
            if count:
                servers = self._registry.servers()
                chosen = random.sample(servers, min(count, len(servers)))
                self._start_round(chosen, now)

    def _start_round(self, servers: list[Server], now: float) -> None:
        probes = _Round(len(servers), self._end_round)
        for server in servers:
            server.pool.probe(probes.record)
        self._timers.at(now + PROBE_TIMEOUT_SECONDS, probes.end)

    def _end_round(self, probes: _Round) -> None:
        now = self._timers.now()
        change = self._reachability.record_round(
            probes.connected, probes.server_count, now
        )
        fields = {"probed": probes.server_count, "connected": probes.connected}
        match change:
            case ReachabilityChange.NONE:
                return
            case ReachabilityChange.LOST:
                silence = round(now - self._reachability.last_response_at, 3)
                self._log.warning("servers-lost", silence=silence, **fields)
            case ReachabilityChange.REGAINED:
                self._log.info("servers-regained", **fields)
                self._registry.end_backoffs()
        self._on_change()
