"""Membership: the known hosts, from heartbeats and the platform's host list."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from crocusbay.protocol.platform import ListedHost
from crocusbay.state import Member

HEARTBEAT_INTERVAL_SECONDS = 1.0
LOSS_TIMEOUT_SECONDS = 3.0
LOST_HOST_RETENTION_SECONDS = 30.0


@dataclass(slots=True)
class MemberRecord:
    """Newest description of a host, and the time of the heartbeat that carried it."""

    member: Member
    last_heartbeat_at: float
    is_lost: bool = False


class Membership:
    """Track the other hosts by name."""

    def __init__(self, name: str, now: Callable[[], float]) -> None:
        self.name = name
        self.by_name: dict[str, MemberRecord] = {}
        self.platform_hosts: dict[str, ListedHost] = {}
        self._now = now

    @property
    def live(self) -> list[Member]:
        """Return the hosts with recent heartbeats, including those that are leaving."""
        return [each.member for each in self.by_name.values() if not each.is_lost]

    @property
    def serving(self) -> list[Member]:
        """Return the hosts that callers may be directed to."""
        return [
            member
            for member in self.live
            if not member.is_leaving and not self._is_listed_leaving(member.name)
        ]

    @property
    def host_count(self) -> int:
        """Return how many hosts may hold connections, including this one.

        A recently lost host counts: it may be paused, or unreachable from this host
        only, with its connections still open.
        """
        return 1 + len(self.by_name)

    def update(self, member: Member) -> bool:
        """Store a host's own description; return whether the host is new or back."""
        if member.name == self.name:
            return False
        record = self.by_name.get(member.name)
        if record and not member.is_newer_than(record.member):
            return False
        is_back = record is None or record.is_lost
        self.by_name[member.name] = MemberRecord(member, self._now())
        return is_back

    def set_platform_hosts(self, hosts: Iterable[ListedHost]) -> None:
        """Replace the platform's host list, which lags behind heartbeats."""
        self.platform_hosts = {host.name: host for host in hosts}

    def expire(self) -> list[Member]:
        """Mark silent hosts as lost and remove old ones; return the newly lost."""
        now = self._now()
        lost = []
        for name, record in list(self.by_name.items()):
            elapsed = now - record.last_heartbeat_at
            if elapsed > LOST_HOST_RETENTION_SECONDS:
                del self.by_name[name]
            elif elapsed > LOSS_TIMEOUT_SECONDS and not record.is_lost:
                record.is_lost = True
                lost.append(record.member)
        return lost

    def _is_listed_leaving(self, name: str) -> bool:
        listed = self.platform_hosts.get(name)
        return listed is not None and listed.is_leaving
