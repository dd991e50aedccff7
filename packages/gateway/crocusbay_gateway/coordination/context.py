"""Dependencies shared by the request handlers of one gateway process."""

from dataclasses import dataclass

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.registry import Registry
from crocusbay_gateway.coordination.relay_client import RelayClients
from crocusbay_gateway.coordination.server_statements import ServerStatements
from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics
from crocusbay_gateway.protocol import HttpConventions


@dataclass(frozen=True, slots=True)
class Context:
    """Bundle the objects that are needed to serve a request."""

    conventions: HttpConventions
    timers: TimerService
    registry: Registry
    crash_monitor: CrashMonitor
    server_statements: ServerStatements
    log: EventLog
    metrics: GatewayMetrics
    relays: RelayClients
