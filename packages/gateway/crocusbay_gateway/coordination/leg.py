"""State of one shard's part in a scatter-gather."""

from dataclasses import dataclass, field

from crocusbay.state import Verdict
from crocusbay_gateway.coordination.attempt import Attempt, Tries


@dataclass(slots=True)
class Leg:
    """Track the attempts, result and failure of one shard's part."""

    service: str
    signature: bytes = b""
    records: list[bytes] = field(default_factory=list)
    open: list[Attempt] = field(default_factory=list)
    tries: Tries = field(default_factory=Tries)
    has_hedged: bool = False
    is_held: bool = False
    is_failed: bool = False
    failure: Verdict | None = None

    @property
    def is_pending(self) -> bool:
        """Return whether the part may still arrive."""
        return not self.signature and not self.is_failed
