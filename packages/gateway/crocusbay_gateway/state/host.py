"""Hosts: what each tells the others about itself."""

import msgspec


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """Describe one host; a later incarnation or beat replaces an earlier (seconds).

    `load` is in requests a second; `gather_time` is what the host itself takes for one
    request to a hundred shards. `*_revision` is the store's revision of what the host
    holds, and `*_age` the time
    since the store last confirmed it.
    """

    name: str
    incarnation: int
    beat: int
    place: str
    caller_address: str
    peer_address: str
    is_ready: bool = False
    is_leaving: bool = False
    reaches_store: bool = True
    load: float = 0.0
    gather_time: float = 0.0
    configuration_revision: int = 0
    configuration_age: float = 1e9
    servers_revision: int = 0
    servers_seen: int = 0
    servers_age: float = 1e9

    def is_newer_than(self, other: "HostStatus") -> bool:
        """Return whether this status replaces the other one."""
        return (self.incarnation, self.beat) > (other.incarnation, other.beat)
