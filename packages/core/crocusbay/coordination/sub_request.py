"""Legs: the sub-requests of a scatter-gather request, one for each service."""

from dataclasses import dataclass, field
from enum import StrEnum

from crocusbay.coordination.server import Server
from crocusbay.state import Verdict
from crocusbay.transport import Exchange

INITIAL_RETRY_DELAY_SECONDS = 0.02


class SendReason(StrEnum):
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
    reason: SendReason


@dataclass(slots=True, eq=False)
class SubRequestState:
    """Hold the sub-request to one service and its progress."""

    service: str
    target: str
    verdict: Verdict | None = None
    last_failure: Verdict | None = None
    tried_servers: set[str] = field(default_factory=set)
    open_attempts: dict[Exchange, "Attempt"] = field(default_factory=dict)
    retry_pause: float = INITIAL_RETRY_DELAY_SECONDS
    is_held: bool = False
    has_hedged: bool = False


@dataclass(frozen=True, slots=True)
class ScatterRequest:
    """Describe a scatter-gather request; the deadline is on the monotonic clock."""

    request_id: str
    fingerprint: str
    deadline: float
    snapshot_version: int = 0
