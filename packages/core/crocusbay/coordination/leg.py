"""Legs: the sub-requests of a scatter-gather request, one for each service."""

from dataclasses import dataclass, field
from enum import StrEnum

from crocusbay.coordination.server import Server
from crocusbay.state import Verdict
from crocusbay.transport import Exchange

RETRY_PAUSE_SECONDS = 0.02


class Reason(StrEnum):
    """Name why a request goes upstream, as a metric label.

    NEEDED marks no send: it counts the fewest sends that could serve the request.
    """

    NEEDED = "needed"
    PRIMARY = "primary"
    RETRY = "retry"
    HEDGE = "hedge"
    CANCEL = "cancel"
    CANARY = "canary"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one attempt to send a leg to a server."""

    server: Server
    reason: Reason


@dataclass(slots=True, eq=False)
class Leg:
    """Hold the sub-request to one service and its progress."""

    service: str
    target: str
    verdict: Verdict | None = None
    last_failure: Verdict | None = None
    tried: set[str] = field(default_factory=set)
    open: dict[Exchange, "Attempt"] = field(default_factory=dict)
    retry_pause: float = RETRY_PAUSE_SECONDS
    is_held: bool = False
    has_hedged: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """Describe a scatter-gather request; the deadline is on the monotonic clock."""

    request: str
    fingerprint: str
    deadline: float
    snapshot: int = 0
