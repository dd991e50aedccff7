"""Quarantine: stops requests that crash the servers that run them.

Answers a load in which one caller sends such a request again and again, to any host.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from crocusbay_gateway.protocol import Strike
from crocusbay_gateway.state import CallerRequest

STRIKES_TO_QUARANTINE = 3
STRIKE_LIFETIME_SECONDS = 120.0
MAX_ENTRIES = 5_000
# Strikes that one beat carries, so that it fits a datagram.
MAX_SHARED_STRIKES = 8
SHARE_SECONDS = 3.0


def fingerprint(request: CallerRequest) -> str:
    """Return the identity that copies of a request share."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target, request.caller):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


@dataclass(slots=True)
class _Entry:
    servers: set[str] = field(default_factory=set)
    expires_at: float = 0.0
    struck_at: float = 0.0


class Quarantine:
    """Count the servers that each request crashed (seconds)."""

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Entry] = OrderedDict()

    def strike(self, strike: Strike, now: float) -> bool:
        """Take one strike; return whether it puts the request under quarantine."""
        entry = self._by_fingerprint.get(strike.fingerprint)
        if entry is None or entry.expires_at < now:
            entry = self._by_fingerprint[strike.fingerprint] = _Entry()
        if strike.server in entry.servers:
            return False
        entry.servers.add(strike.server)
        entry.expires_at = now + STRIKE_LIFETIME_SECONDS
        entry.struck_at = now
        while len(self._by_fingerprint) > MAX_ENTRIES:
            self._by_fingerprint.popitem(last=False)
        return len(entry.servers) == STRIKES_TO_QUARANTINE

    def holds(self, request: str, now: float) -> bool:
        """Return whether a request of this fingerprint must not run."""
        entry = self._by_fingerprint.get(request)
        if entry is None or entry.expires_at < now:
            return False
        return len(entry.servers) >= STRIKES_TO_QUARANTINE

    def clear(self, request: str) -> None:
        """Forget a request that a server has answered."""
        self._by_fingerprint.pop(request, None)

    def recent(self, now: float) -> tuple[Strike, ...]:
        """Return the newest strikes, for other hosts."""
        strikes: list[Strike] = []
        for request, entry in reversed(self._by_fingerprint.items()):
            if entry.struck_at + SHARE_SECONDS < now:
                break
            strikes += [Strike(request, server) for server in sorted(entry.servers)]
            if len(strikes) >= MAX_SHARED_STRIKES:
                break
        return tuple(strikes[:MAX_SHARED_STRIKES])
