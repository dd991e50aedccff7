"""Upstream servers as listed in the platform's status objects."""

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True)
class Upstream:
    """Describe one server of a service."""

    name: str
    service: str
    place: str
    address: str
    is_leaving: bool = False


@dataclass(frozen=True)
class UpstreamStatus:
    """List the servers of a deployment."""

    upstreams: tuple[Upstream, ...] = ()

    @cached_property
    def by_service(self) -> dict[str, tuple[Upstream, ...]]:
        """Return the servers of each service."""
        grouped: dict[str, list[Upstream]] = {}
        for upstream in self.upstreams:
            grouped.setdefault(upstream.service, []).append(upstream)
        return {service: tuple(servers) for service, servers in grouped.items()}


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``ip:port``; raise ValueError if malformed.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    ip, colon, port = address.rpartition(":")
    if not (colon and ip and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{address!r} is not an address of the form ip:port")
    return ip, int(port)
