"""Upstream servers as listed in the platform's status objects."""

import re
from dataclasses import dataclass
from functools import cached_property

from crocusbay.state.ranges import Name

MAX_PORT = 65_535
MAX_SHOWN_CHARACTERS = 60

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
_ADDRESS = re.compile(rf"(?P<ip>{_OCTET}(?:\.{_OCTET}){{3}}):(?P<port>[0-9]{{1,5}})")


@dataclass(frozen=True)
class Upstream:
    """Describe one server of a service."""

    name: Name
    service: Name
    place: Name
    address: Name
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
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match["port"]) > MAX_PORT:
        text = address[:MAX_SHOWN_CHARACTERS]
        raise ValueError(f"{text!r} is not an address of the form ip:port")
    return match["ip"], int(match["port"])


def split_server_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of a server; raise ValueError if malformed.

    >>> split_server_address("127.0.0.1:0")
    Traceback (most recent call last):
    ValueError: '127.0.0.1:0' has no port to connect to
    """
    ip, port = split_address(address)
    if not port:
        raise ValueError(f"{address!r} has no port to connect to")
    return ip, port
