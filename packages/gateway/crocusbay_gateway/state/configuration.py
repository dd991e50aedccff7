"""Configuration: routes, services and limits at one version.

These are msgspec's frozen structs, since hosts hand configurations to each other and
only structs carry the tag that tells the targets of a route apart.
"""

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """Name what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WeightedService(msgspec.Struct, frozen=True):
    """Hold one part of a split and its weight."""

    service: str
    weight: float


class ToService(msgspec.Struct, frozen=True, tag=True):
    """Send each request to one server of a service."""

    service: str


class ToSplit(msgspec.Struct, frozen=True, tag=True):
    """Send each request to one of several services, in proportion to the weights."""

    parts: tuple[WeightedService, ...]


class ToShards(msgspec.Struct, frozen=True, tag=True):
    """Ask every shard and merge: the greatest records, and the least share needed."""

    services: tuple[str, ...]
    top: int
    least_share: float

    def is_enough(self, parts: int) -> bool:
        """Return whether an answer of so many parts counts as a success."""
        return parts > 0 and parts >= self.least_share * len(self.services) - 1e-9


Target = ToService | ToSplit | ToShards


class Route(msgspec.Struct, frozen=True):
    """Describe how requests under one host name and path prefix are served (seconds).

    `goal` is the time within which an answer is worth most; `timeout` the longest time
    that a request may be kept waiting; rank 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    target: Target
    timeout: float
    goal: float
    max_attempts: int = 1
    rank: int = 0

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that may run a request of this route."""
        match self.target:
            case ToService(service):
                return (service,)
            case ToSplit(parts):
                return tuple(part.service for part in parts)
            case ToShards(services):
                return services


class Service(msgspec.Struct, frozen=True):
    """Describe one service."""

    name: str
    max_connections: int


class Limits(msgspec.Struct, frozen=True):
    """Bound what a caller may send and how long it may take (bytes, seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_time: float = 10.0
    idle_time: float = 60.0


class Configuration(msgspec.Struct, frozen=True, dict=True):
    """Hold the routes, services and limits of one version.

    >>> target = ToService("s")
    >>> route = Route("r", "a.example", "/x/", RouteKind.IDEMPOTENT, target, 1, 1)
    >>> configuration = Configuration(1, (route,), (Service("s", 10),))
    >>> configuration.find("a.example", "/x/1").name
    'r'
    >>> configuration.find("a.example", "/y/1") is None
    True
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()

    @property
    def by_host(self) -> dict[str, tuple[Route, ...]]:
        """Return the routes of each host name, longest prefix first."""
        cached = self.__dict__.get("_by_host")
        if cached is None:
            grouped: dict[str, list[Route]] = {}
            for route in self.routes:
                grouped.setdefault(route.host, []).append(route)
            cached = {
                host: tuple(sorted(routes, key=lambda each: -len(each.prefix)))
                for host, routes in grouped.items()
            }
            self.__dict__["_by_host"] = cached
        return cached

    @property
    def by_service(self) -> dict[str, Service]:
        """Return the services by name."""
        cached = self.__dict__.get("_by_service")
        if cached is None:
            cached = {service.name: service for service in self.services}
            self.__dict__["_by_service"] = cached
        return cached

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
