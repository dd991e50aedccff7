"""Decision whether this host is cut off from all servers.

Failures of single servers don't show it, since servers fail too. A host that has reason
for doubt opens connections to servers chosen at random: if none opens, the links
of the host have failed.
"""

from enum import Enum, auto

# A host has doubts after this many attempts without a response for this time.
MIN_UNANSWERED_ATTEMPTS = 5
DOUBT_SILENCE_SECONDS = 0.2
# Or after connections to this many servers have failed, with none opened since.
MIN_UNCONNECTED_SERVERS = 3
# Servers probed in one round. With half of all servers down, the chance that a round
# finds none is 0.4 %.
DOUBT_PROBES = 8
# Servers probed in one round to find the end of a cut, and how many must respond.
REGAIN_PROBES = 3
MIN_REGAINED = 2
ROUND_INTERVAL_SECONDS = 0.25
# Well above the round trip to the farthest server.
PROBE_TIMEOUT_SECONDS = 0.25


class ReachabilityChange(Enum):
    """List the changes that a round of probes may show."""

    NONE = auto()
    LOST = auto()
    REGAINED = auto()


class ServerReachability:
    """Decide from attempts and probes; times are in seconds."""

    def __init__(self) -> None:
        self.is_cut_off = False
        self.last_response_at = float("-inf")
        self._unanswered_attempts = 0
        self._unanswered_since = float("inf")
        self._unconnected_servers: set[str] = set()
        self._next_round_at = float("-inf")

    def record_attempt(self, now: float) -> None:
        """Record that a request is sent to a server, or waits for a connection."""
        if not self._unanswered_attempts:
            self._unanswered_since = now
        self._unanswered_attempts += 1

    def record_response(self, now: float) -> None:
        """Record that a server responded."""
        self.last_response_at = now
        self._unanswered_attempts = 0

    def record_connected(self) -> None:
        """Record that a connection to a server could be opened."""
        self._unconnected_servers.clear()

    def record_connect_failed(self, server: str) -> None:
        """Record that a connection to a server could not be opened."""
        self._unconnected_servers.add(server)

    def probe_count(self, now: float) -> int:
        """Return how many servers to probe now; the round is then in progress."""
        if now < self._next_round_at:
            return 0
        if not (self.is_cut_off or self._has_doubts(now)):
            return 0
        self._next_round_at = now + ROUND_INTERVAL_SECONDS + PROBE_TIMEOUT_SECONDS
        return REGAIN_PROBES if self.is_cut_off else DOUBT_PROBES

    def record_round(
        self, connected: int, probed: int, now: float
    ) -> ReachabilityChange:
        """Record how many of the probed servers accepted a connection.

        >>> reachability = ServerReachability()
        >>> reachability.record_round(0, 8, now=1.0).name, reachability.is_cut_off
        ('LOST', True)
        >>> reachability.record_round(3, 3, now=2.0).name, reachability.is_cut_off
        ('REGAINED', False)
        """
        self._next_round_at = now + ROUND_INTERVAL_SECONDS
        if connected:
            self._unconnected_servers.clear()
            self._unanswered_attempts = 0
        if self.is_cut_off and connected >= min(MIN_REGAINED, probed) > 0:
            self.is_cut_off = False
            return ReachabilityChange.REGAINED
        if not self.is_cut_off and probed and not connected:
            self.is_cut_off = True
            return ReachabilityChange.LOST
        return ReachabilityChange.NONE

    def _has_doubts(self, now: float) -> bool:
        is_silent = (
            self._unanswered_attempts >= MIN_UNANSWERED_ATTEMPTS
            and now - self._unanswered_since >= DOUBT_SILENCE_SECONDS
        )
        return is_silent or len(self._unconnected_servers) >= MIN_UNCONNECTED_SERVERS
