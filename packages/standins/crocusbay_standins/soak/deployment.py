"""The deployment of a soak: its services, and its routes after so many changes."""

from crocusbay_gateway.state import Route, RouteKind, Service, ToService, ToShards
from crocusbay_standins.soak.callers import Kind

SHARDS = 6
# Enough for parts from other data centres to be relayed.
TOP = 20
PATHS = {Kind.GATHER: "/all/", Kind.FETCH: "/one/", Kind.ORDER: "/order/"}
GOAL_SECONDS = 0.3
TIMEOUT_SECONDS = 1.8


def make_services() -> tuple[Service, ...]:
    """Return the services."""
    names = [f"shard{number}" for number in range(SHARDS)]
    return tuple(Service(name, 25) for name in (*names, "single", "orders"))


def make_routes(change: int) -> tuple[Route, ...]:
    """Return the routes after so many changes; each adds one and drops the last."""
    shards = tuple(f"shard{number}" for number in range(SHARDS))
    targets = {
        PATHS[Kind.GATHER]: (RouteKind.IDEMPOTENT, ToShards(shards, TOP, 0.6)),
        PATHS[Kind.FETCH]: (RouteKind.IDEMPOTENT, ToService("single")),
        PATHS[Kind.ORDER]: (RouteKind.NON_IDEMPOTENT, ToService("orders")),
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
            GOAL_SECONDS,
            max_attempts=2,
        )
        for prefix, (kind, target) in targets.items()
    )
