"""Immutable data types for routes, servers, hosts, requests and settings."""

from crocusbay_gateway.state.configuration import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    Service,
    ToService,
    ToShards,
    ToSplit,
    WeightedService,
)
from crocusbay_gateway.state.host import HostStatus
from crocusbay_gateway.state.ranges import (
    MAX_ERA,
    MAX_PERIOD_SECONDS,
    Age,
    Count,
    Era,
    Period,
    Rate,
    RemainingTime,
)
from crocusbay_gateway.state.request import (
    CallerRequest,
    Reply,
    ServerResponse,
    ServerStatement,
)
from crocusbay_gateway.state.server import ServerEntry
from crocusbay_gateway.state.settings import Bounds, GatewaySettings
from crocusbay_gateway.state.store_revision import (
    FIRST_ERA,
    MAX_NUMBER,
    era_of,
    format_revision,
    make_revision,
    number_of,
)

__all__ = [
    "FIRST_ERA",
    "MAX_ERA",
    "MAX_NUMBER",
    "MAX_PERIOD_SECONDS",
    "Age",
    "Bounds",
    "CallerRequest",
    "Configuration",
    "Count",
    "Era",
    "GatewaySettings",
    "HostStatus",
    "Limits",
    "Period",
    "Rate",
    "RemainingTime",
    "Reply",
    "Route",
    "RouteKind",
    "ServerEntry",
    "ServerResponse",
    "ServerStatement",
    "Service",
    "ToService",
    "ToShards",
    "ToSplit",
    "WeightedService",
    "era_of",
    "format_revision",
    "make_revision",
    "number_of",
]
