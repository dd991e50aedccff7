"""Deployment of a soak: its services, and its routes after a number of changes."""

from crocusbay_gateway.state import Route, RouteKind, Service, ToService, ToShards
from crocusbay_standins.soak.callers import RequestKind

SHARDS = 6
# High enough for parts from other data centres to be relayed.
TOP_RECORDS = 20
PATHS = {
    RequestKind.GATHER: "/all/",
    RequestKind.FETCH: "/one/",
    RequestKind.ORDER: "/order/",
}
LATENCY_GOAL_SECONDS = 0.3
TIMEOUT_SECONDS = 1.8


def make_services(shards: int = SHARDS) -> tuple[Service, ...]:
    """Return the services: the shards, one for fetches and one for orders."""
    names = [f"shard{number}" for number in range(shards)]
    return tuple(Service(name, 25) for name in (*names, "single", "orders"))


def make_routes(change: int, shards: int = SHARDS) -> tuple[Route, ...]:
    """Return the routes after a number of changes; each replaces the versioned one."""
    names = tuple(f"shard{number}" for number in range(shards))
    targets = {
        PATHS[RequestKind.GATHER]: (
            RouteKind.IDEMPOTENT,
            ToShards(names, TOP_RECORDS, 0.6),
        ),
        PATHS[RequestKind.FETCH]: (RouteKind.IDEMPOTENT, ToService("single")),
        PATHS[RequestKind.ORDER]: (RouteKind.NON_IDEMPOTENT, ToService("orders")),
        f"/v{change}/": (RouteKind.IDEMPOTENT, ToService("single")),
    }
    return tuple(
        Route(
            prefix.strip("/"),
            "soak.example",
            prefix,
            kind,
            target,
            TIMEOUT_SECONDS,
            LATENCY_GOAL_SECONDS,
            max_attempts=2,
        )
        for prefix, (kind, target) in targets.items()
    )
