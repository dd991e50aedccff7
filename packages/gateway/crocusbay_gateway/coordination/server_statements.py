"""What servers state of themselves in their responses, as known to this host."""

import math
import random
from collections import OrderedDict

from crocusbay.state import Cause
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.registry import Registry, Server
from crocusbay_gateway.coordination.sources import SOURCE_OWN, SOURCE_PEER
from crocusbay_gateway.coordination.stated_limit import (
    ServerLimit,
    StatedLimit,
    parse_limit,
)
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import ServerReport
from crocusbay_gateway.state import ServerStatement

# Reports in one heartbeat, limited so that it fits into a datagram.
MAX_SHARED_REPORTS = 8
# Reported for a server that has stated none; older than any statement.
NO_LIMIT = StatedLimit(None, -1e9)
# The end of a limit is reported for this time, after which every host has heard of it.
END_SHARING_SECONDS = 3.0
# A limit that no response has confirmed for this time no longer counts.
RETENTION_SECONDS = 30.0
# A server that asks for a longer rest is tried again after this time.
MAX_REST_SECONDS = 300.0
# Share of a rest by which hosts return at different times, and its maximum.
REST_JITTER = 0.1
MAX_REST_JITTER_SECONDS = 0.5


def parse_rest(value: bytes) -> float:
    """Return the rest in a header (seconds); raise ValueError if it is not a number.

    >>> parse_rest(b"2.5")
    2.5
    """
    seconds = float(value)
    if not math.isfinite(seconds) or seconds < 0:
        raise ValueError(f"rest {value!r} is not a time")
    return min(seconds, MAX_REST_SECONDS)


class ServerStatements:
    """Learn from responses and other hosts what servers state, and act by it."""

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
        # Servers that leave, or with a limit or the recent end of one, in the order of
        # the reports.
        self._servers: OrderedDict[str, Server] = OrderedDict()
        registry.on_statement = self.record_statement

    def set_share(self, share: float) -> None:
        """Set this host's share of every limit, and drop what has lapsed."""
        self._share = share
        now = self._timers.now()
        for name, server in list(self._servers.items()):
            if server.limit is not None:
                self._update_limit(server, now)
            is_known = server.limit is not None or server.is_leaving
            if server.pool.is_closed or not is_known:
                del self._servers[name]

    def _update_limit(self, server: Server, now: float) -> None:
        """Apply the share of a limit, or drop the limit if it lapsed."""
        limit = server.limit
        age = now - limit.stated.stated_at
        max_age = RETENTION_SECONDS if limit.is_in_force else END_SHARING_SECONDS
        if age <= max_age:
            limit.update(limit.stated, self._share, now)
            return
        if limit.is_in_force:
            self._log.info(
                "server-limit-lapsed",
                server=server.entry.name,
                limit=limit.stated.rate,
                age=age,
            )
        server.limit = None

    def record_statement(self, server: Server, statement: ServerStatement) -> None:
        """Record what a server states in a response."""
        if statement.is_leaving:
            self._record_leaving(server.entry.name, server.entry.started_at, SOURCE_OWN)
        if statement.rest:
            self._record_rest(server, statement.rest)
        if statement.limit or server.limit is not None:
            self._record_limit(server, statement.limit)

    def _record_leaving(self, name: str, started_at: int, source: str) -> None:
        """Record that a process leaves; report it while it is in the registry."""
        server = self._registry.find_process(name, started_at)
        is_new = server is not None and not server.is_leaving
        self._registry.record_leaving(name, started_at)
        if server is not None:
            self._track(server)
        if is_new:
            self._log.info(
                "server-leaving",
                server=name,
                service=server.entry.service,
                source=source,
            )

    def _record_rest(self, server: Server, value: bytes) -> None:
        """Record for how long a server wants no requests of this host."""
        try:
            rest = parse_rest(value)
        except ValueError as error:
            self._log.warning(
                "server-rest-ignored", server=server.entry.name, reason=str(error)
            )
            return
        self._set_rest(server, rest, SOURCE_OWN)

    def record_relayed_rest(self, server: Server, rest: float) -> None:
        """Record for how long a relay may not send to a server."""
        self._set_rest(server, min(rest, MAX_REST_SECONDS), SOURCE_PEER)

    def _set_rest(self, server: Server, rest: float, source: str) -> None:
        """Send nothing to a server for some time (seconds).

        A rest that ends earlier than a known one changes nothing.
        """
        now = self._timers.now()
        if rest <= server.rest_time(now):
            return
        is_new = not server.rest_time(now)
        jitter = random.uniform(0.0, min(MAX_REST_JITTER_SECONDS, REST_JITTER * rest))
        server.rest_until = now + rest + jitter
        server.pool.fail_queued(Cause.SHED)
        if is_new:
            self._log.info(
                "server-rest",
                server=server.entry.name,
                service=server.entry.service,
                seconds=round(rest, 3),
                source=source,
            )

    def _record_limit(self, server: Server, value: bytes) -> None:
        """Record the limit that a server states, or that it has none."""
        try:
            rate = parse_limit(value)
        except ValueError as error:
            self._log.warning(
                "server-limit-ignored", server=server.entry.name, reason=str(error)
            )
            return
        self._set_limit(server, StatedLimit(rate, self._timers.now()), SOURCE_OWN)

    def record_reports(self, reports: tuple[ServerReport, ...]) -> None:
        """Record what other hosts know, unless this host knows something newer."""
        now = self._timers.now()
        for report in reports:
            if report.is_leaving:
                self._record_leaving(report.server, report.started_at, SOURCE_PEER)
            server = self._registry.find_process(report.server, report.started_at)
            if server is None:
                continue
            stated = StatedLimit(report.rate, now - report.age)
            limit = server.limit
            if limit is None and stated.rate is None:
                continue
            if limit is None or stated.stated_at > limit.stated.stated_at:
                self._set_limit(server, stated, SOURCE_PEER)

    def reports_to_share(self) -> tuple[ServerReport, ...]:
        """Return the next reports for a heartbeat, each server in its turn."""
        now = self._timers.now()
        reports = []
        for name in list(self._servers)[:MAX_SHARED_REPORTS]:
            self._servers.move_to_end(name)
            server = self._servers[name]
            stated = server.limit.stated if server.limit else NO_LIMIT
            reports.append(
                ServerReport(
                    name,
                    server.entry.started_at,
                    stated.rate,
                    round(now - stated.stated_at, 3),
                    server.is_leaving,
                )
            )
        return tuple(reports)

    def record_send(self, server: Server, reason: str, request_id: str) -> None:
        """Record an attempt that is sent to a server."""
        self._record_unwanted(server, reason, request_id)
        if server.limit is not None and server.limit.is_in_force:
            server.limit.record_send(self._timers.now())
            self._metrics.limited_attempts.inc(reason)

    def record_relayed_send(self, server: Server, request_id: str) -> None:
        """Count an attempt for another host, which has paced it by its own share."""
        self._record_unwanted(server, "relayed", request_id)
        if server.limit is not None and server.limit.is_in_force:
            self._metrics.limited_attempts.inc("relayed")

    def _track(self, server: Server) -> None:
        """Report a server to other hosts, soon if it is new."""
        name = server.entry.name
        is_new = name not in self._servers
        self._servers[name] = server
        if is_new:
            self._servers.move_to_end(name, last=False)

    def _record_unwanted(self, server: Server, reason: str, request_id: str) -> None:
        is_resting = server.rest_time(self._timers.now()) > 0.0
        for statement, is_stated in (
            ("leaving", server.is_leaving),
            ("resting", is_resting),
        ):
            if is_stated:
                self._metrics.unwanted_attempts.inc(statement, reason)
                self._log.info(
                    "unwanted-attempt",
                    request=request_id,
                    server=server.entry.name,
                    statement=statement,
                    reason=reason,
                )

    def _set_limit(self, server: Server, stated: StatedLimit, source: str) -> None:
        now = self._timers.now()
        name = server.entry.name
        previous = server.limit.stated.rate if server.limit else None
        if server.limit is None:
            server.limit = ServerLimit(stated, self._share, now, random.random())
        else:
            server.limit.update(stated, self._share, now)
        self._track(server)
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
