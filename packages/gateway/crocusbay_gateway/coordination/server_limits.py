"""What this host knows of the limits that servers state in their responses."""

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.registry import Server
from crocusbay_gateway.coordination.stated_limit import StatedLimit, parse_limit
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.state import ServerResponse


class ServerLimits:
    """Observe the limits stated in responses, and log each change."""

    def __init__(
        self, log: EventLog, metrics: GatewayMetrics, timers: TimerService
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._timers = timers

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
        previous = server.limit.rate if server.limit else None
        server.limit = StatedLimit(rate, self._timers.now())
        if rate != previous:
            self._log.info(
                "server-limit",
                server=server.entry.name,
                service=server.entry.service,
                limit=rate,
                previous=previous,
            )

    def record_send(self, server: Server, reason: str) -> None:
        """Count an attempt that is sent to a server with a limit."""
        if server.limit is not None and server.limit.rate is not None:
            self._metrics.limited_attempts.inc(reason)
