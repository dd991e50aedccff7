"""Messages between hosts: beats by datagram, views by stream."""

import msgspec

from crocusbay_gateway.state import Configuration, HostStatus, ServerEntry


class KnownHost(msgspec.Struct, frozen=True, array_like=True):
    """Name a host that the sender has heard lately."""

    name: str
    peer_address: str
    place: str = ""


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """Name a server that crashed while it ran a request."""

    fingerprint: str
    server: str


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """Tell what the sender is, whom it knows and which requests crash servers."""

    sender: HostStatus
    known: tuple[KnownHost, ...] = ()
    strikes: tuple[Strike, ...] = ()
    hosts_by_place: dict[str, int] = {}


class ViewQuery(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """Ask for what the asker lacks beyond the revisions that it holds."""

    configuration_revision: int = 0
    servers_revision: int = 0


class ViewAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hand over what is newer than the revisions asked for (ages in seconds)."""

    configuration_revision: int
    configuration_age: float
    servers_revision: int
    servers_seen: int
    servers_age: float
    configuration: Configuration | None = None
    servers: tuple[ServerEntry, ...] = ()
