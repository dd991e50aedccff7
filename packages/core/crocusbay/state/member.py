"""Members: the hosts of the system as they describe themselves."""

from dataclasses import dataclass

from crocusbay.state.ranges import Name, Ordinal


@dataclass(frozen=True, slots=True)
class Load:
    """Number of requests that a host is running, and its limit."""

    running: Ordinal = 0
    limit: Ordinal = 1

    @property
    def headroom(self) -> float:
        """Return the unused fraction of the limit, from 0 to 1."""
        return max(0.0, 1.0 - self.running / max(1, self.limit))


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one host as of one heartbeat.

    `beat` numbers the heartbeats of one incarnation. A higher incarnation, or a higher
    beat within it, replaces an older description.
    """

    name: Name
    place: Name
    caller_address: Name
    peer_address: Name
    incarnation: Ordinal
    beat: Ordinal = 0
    is_leaving: bool = False
    revision: Ordinal = 0
    load: Load = Load()

    def is_newer_than(self, other: "Member") -> bool:
        """Return whether this description is newer than the other one."""
        return (self.incarnation, self.beat) > (other.incarnation, other.beat)
