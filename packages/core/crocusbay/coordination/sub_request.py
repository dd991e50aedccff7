"""Progress of the sub-requests of a scatter-gather request, one for each service."""

from dataclasses import dataclass, field
from enum import StrEnum

from crocusbay.coordination.server import Server
from crocusbay.state import Verdict
from crocusbay.transport import Exchange

INITIAL_RETRY_DELAY_SECONDS = 0.02


class SendReason(StrEnum):
    """Name the reason why a request is sent to an upstream (a metric label).

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
    """Describe one attempt: one send of a sub-request to one server."""

    server: Server
    reason: SendReason


@dataclass(slots=True, eq=False)
class SubRequestState:
    """Track the sub-request to one service over all of its attempts.

    What an attempt sends is a `SubRequest`; this is the state kept on the host. A
    deferred retry waits for a response from any server, see `ScatterGather`.
    """

    service: str
    target: str
    verdict: Verdict | None = None
    last_failure: Verdict | None = None
    tried_servers: set[str] = field(default_factory=set)
    open_attempts: dict[Exchange, "Attempt"] = field(default_factory=dict)
    retry_delay: float = INITIAL_RETRY_DELAY_SECONDS
    is_retry_deferred: bool = False
    is_hedged: bool = False


@dataclass(frozen=True, slots=True)
class ScatterRequest:
    """Describe a scatter-gather request; the deadline is on the monotonic clock."""

    request_id: str
    fingerprint: str
    deadline: float
    snapshot_version: int = 0
