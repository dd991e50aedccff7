"""Deployments: configuration generated from a questionnaire."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property


class ServiceKind(StrEnum):
    """Name the kind of requests that a service handles."""

    SEARCH = "search"
    DOCUMENT = "document"
    ORDER = "order"


@dataclass(frozen=True)
class Service:
    """Describe one service and the limits of each of its servers.

    `slots` is the number of requests that a server runs at once; `connect_cost` is in
    seconds.
    """

    name: str
    kind: ServiceKind
    servers: int
    slots: int
    connections: int
    connect_cost: float


@dataclass(frozen=True)
class Policy:
    """Set the trade-off between latency, coverage and load (durations in seconds)."""

    deadline: float
    hedge_ratio: float
    hedge_floor: float
    retry_ratio: float
    concurrent_requests: int


@dataclass(frozen=True)
class Change:
    """Record one accepted change of a configuration."""

    change_id: str
    author: str
    time: str
    note: str
    summary: tuple[str, ...] = ()


@dataclass(frozen=True)
class Deployment:
    """Configuration of one deployment."""

    name: str
    places: tuple[str, ...]
    hosts: int
    policy: Policy
    services: tuple[Service, ...]
    questionnaire: str = ""
    history: tuple[Change, ...] = ()

    @cached_property
    def by_service(self) -> dict[str, Service]:
        """Return the services by name."""
        return {service.name: service for service in self.services}
