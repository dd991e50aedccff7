"""State of the sub-request to one shard in a scatter-gather."""

from dataclasses import dataclass, field

from crocusbay.state import Verdict
from crocusbay_gateway.coordination.attempt import Attempt, AttemptHistory


@dataclass(slots=True)
class SubRequestState:
    """Track the attempts, result and failure of the sub-request to one service."""

    service: str
    signature: bytes = b""
    records: list[bytes] = field(default_factory=list)
    open_attempts: list[Attempt] = field(default_factory=list)
    history: AttemptHistory = field(default_factory=AttemptHistory)
    is_hedged: bool = False
    is_retry_deferred: bool = False
    is_failed: bool = False
    failure: Verdict | None = None

    @property
    def is_pending(self) -> bool:
        """Return whether a part may still arrive."""
        return not self.signature and not self.is_failed
