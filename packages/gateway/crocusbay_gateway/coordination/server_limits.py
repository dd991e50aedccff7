"""Limits that servers state in their responses, as known to this host."""

import random
from collections import OrderedDict

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.registry import Registry, Server
from crocusbay_gateway.coordination.stated_limit import (
    ServerLimit,
    StatedLimit,
    parse_limit,
)
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import ServerLimitReport
from crocusbay_gateway.state import ServerResponse

# Sources of a limit, in logs.
SOURCE_OWN = "own"
SOURCE_PEER = "peer"
# Reports in one heartbeat, limited so that it fits into a datagram.
MAX_SHARED_LIMITS = 8
# The end of a limit is reported for this time, after which every host has heard of it.
END_SHARING_SECONDS = 3.0
# A limit that no response has confirmed for this time no longer counts.
RETENTION_SECONDS = 30.0


class ServerLimits:
    """Learn limits from responses and from other hosts, and pace the sends by them."""

    def __init__(
        self,
        registry: Registry,
        log: EventLog,
        metrics: GatewayMetrics,
        timers: TimerService,
    ) -> None:
        self._registry = registry
        self._log = log
        self._metrics = metrics
        self._timers = timers
        self._share = 1.0
        # Servers with a limit or the recent end of one, in the order of the reports.
        self._servers: OrderedDict[str, Server] = OrderedDict()

    def set_share(self, share: float) -> None:
        """Set this host's share of every limit, and drop the limits that lapsed."""
        self._share = share
        now = self._timers.now()
        for name, server in list(self._servers.items()):
            limit = server.limit
            age = now - limit.stated.stated_at
            max_age = RETENTION_SECONDS if limit.is_in_force else END_SHARING_SECONDS
            if age <= max_age and not server.pool.is_closed:
                limit.update(limit.stated, share, now)
                continue
            if limit.is_in_force:
                self._log.info(
                    "server-limit-lapsed", server=name, limit=limit.stated.rate, age=age
                )
            server.limit = None
            del self._servers[name]

    def record_response(self, server: Server, response: ServerResponse) -> None:
        """Record the limit that a server states in a response, or that it has none."""
        if not response.stated_limit and server.limit is None:
            return
        try:
            rate = parse_limit(response.stated_limit)
        except ValueError as error:
            self._log.warning(
                "server-limit-ignored", server=server.entry.name, reason=str(error)
            )
            return
        self._set_limit(server, StatedLimit(rate, self._timers.now()), SOURCE_OWN)

    def record_reports(self, reports: tuple[ServerLimitReport, ...]) -> None:
        """Record what other hosts know, unless this host knows something newer."""
        now = self._timers.now()
        for report in reports:
            server = self._registry.find_process(report.server, report.started_at)
            if server is None:
                continue
            stated = StatedLimit(report.rate, now - report.age)
            limit = server.limit
            if limit is None and stated.rate is None:
                continue
            if limit is None or stated.stated_at > limit.stated.stated_at:
                self._set_limit(server, stated, SOURCE_PEER)

    def reports_to_share(self) -> tuple[ServerLimitReport, ...]:
        """Return the next reports for a heartbeat, each server in its turn."""
        now = self._timers.now()
        reports = []
        for name in list(self._servers)[:MAX_SHARED_LIMITS]:
            self._servers.move_to_end(name)
            server = self._servers[name]
            stated = server.limit.stated
            age = round(now - stated.stated_at, 3)
            reports.append(
                ServerLimitReport(name, server.entry.started_at, stated.rate, age)
            )
        return tuple(reports)

    def record_send(self, server: Server, reason: str) -> None:
        """Record an attempt that is sent to a server."""
        if server.limit is not None and server.limit.is_in_force:
            server.limit.record_send(self._timers.now())
            self._metrics.limited_attempts.inc(reason)

    def record_relayed_send(self, server: Server) -> None:
        """Count an attempt for another host, which has paced it by its own share."""
        if server.limit is not None and server.limit.is_in_force:
            self._metrics.limited_attempts.inc("relayed")

    def _set_limit(self, server: Server, stated: StatedLimit, source: str) -> None:
        now = self._timers.now()
        name = server.entry.name
        previous = server.limit.stated.rate if server.limit else None
        if server.limit is None:
            server.limit = ServerLimit(stated, self._share, now, random.random())
        else:
            server.limit.update(stated, self._share, now)
        if name not in self._servers:
            self._servers[name] = server
            self._servers.move_to_end(name, last=False)
        elif self._servers[name] is not server:
            self._servers[name] = server
        if stated.rate != previous:
            self._log.info(
                "server-limit",
                server=name,
                service=server.entry.service,
                limit=stated.rate,
                previous=previous,
                source=source,
                share=round(self._share, 4),
            )
