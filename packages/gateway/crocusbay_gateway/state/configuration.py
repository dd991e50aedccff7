"""Gateway configuration: the routes, services and limits of one version.

The types are frozen msgspec structs because hosts send configurations to each other,
and the union of route targets is decoded by a tag that only structs carry. The `name`
of a field is the one that hosts send; hosts of other versions rely on it.
"""

from enum import StrEnum

import msgspec

from crocusbay.state import Name, Ordinal
from crocusbay_gateway.state.ranges import Count, Period, Rate


class RouteKind(StrEnum):
    """Classify routes by whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WeightedService(msgspec.Struct, frozen=True):
    """Assign a traffic weight to one service of a split."""

    service: Name
    weight: Rate


class ToService(msgspec.Struct, frozen=True, tag=True):
    """Route each request to one server of a service."""

    service: Name


class ToSplit(msgspec.Struct, frozen=True, tag=True):
    """Split traffic between services in proportion to their weights."""

    weighted_services: tuple[WeightedService, ...] = msgspec.field(name="parts")


class ToShards(msgspec.Struct, frozen=True, tag=True):
    """Send each request to every shard and merge the `top_k` greatest records.

    `min_shard_share` is the fraction of shards that a successful response must include.
    """

    services: tuple[Name, ...]
    top_k: Count = msgspec.field(name="top")
    min_shard_share: Rate = msgspec.field(name="least_share")

    def has_enough_shards(self, shard_count: int) -> bool:
        """Return whether a response merged from this many shards is successful."""
        return (
            shard_count > 0
            and shard_count >= self.min_shard_share * len(self.services) - 1e-9
        )


Target = ToService | ToSplit | ToShards


class Route(msgspec.Struct, frozen=True):
    """Describe how requests for one host name and path prefix are served (seconds).

    `latency_goal` is the target latency, within which a response has its full value;
    `timeout` is the longest time that a request may wait; `priority` 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    target: Target
    timeout: Period
    latency_goal: Period = msgspec.field(name="goal")
    max_attempts: Ordinal = 1
    priority: Ordinal = msgspec.field(default=0, name="rank")

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_urgent(self) -> bool:
        """Return whether no route has a higher priority."""
        return self.priority == 0

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that may receive requests of this route."""
        match self.target:
            case ToService(service):
                return (service,)
            case ToSplit(weighted_services):
                return tuple(weighted.service for weighted in weighted_services)
            case ToShards(services):
                return services


class Service(msgspec.Struct, frozen=True):
    """Describe a service.

    `max_connections` limits the connections from all hosts to each of its servers.
    """

    name: Name
    max_connections: Count


class Limits(msgspec.Struct, frozen=True):
    """Limit the size and duration of callers' requests (bytes, seconds)."""

    header_bytes: Ordinal = 16_384
    body_bytes: Ordinal = 1_048_576
    header_timeout: Period = msgspec.field(default=10.0, name="header_time")
    idle_timeout: Period = msgspec.field(default=60.0, name="idle_time")


class Configuration(msgspec.Struct, frozen=True, dict=True):
    """Describe the routes, services and limits of one configuration version.

    >>> target = ToService("s")
    >>> route = Route("r", "a.example", "/x/", RouteKind.IDEMPOTENT, target, 1, 1)
    >>> configuration = Configuration(1, (route,), (Service("s", 10),))
    >>> configuration.find_route("a.example", "/x/1").name
    'r'
    >>> configuration.find_route("a.example", "/y/1") is None
    True
    """

    version: Ordinal
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()

    @property
    def by_host(self) -> dict[str, tuple[Route, ...]]:
        """Return the routes grouped by host name, longest prefix first."""
        cached = self.__dict__.get("_by_host")
        if cached is None:
            grouped: dict[str, list[Route]] = {}
            for route in self.routes:
                grouped.setdefault(route.host, []).append(route)
            cached = {
                host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
                for host, routes in grouped.items()
            }
            self.__dict__["_by_host"] = cached
        return cached

    @property
    def by_service(self) -> dict[str, Service]:
        """Return the services indexed by name."""
        cached = self.__dict__.get("_by_service")
        if cached is None:
            cached = {service.name: service for service in self.services}
            self.__dict__["_by_service"] = cached
        return cached

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
