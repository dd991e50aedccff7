"""Coverage: the fraction of one index snapshot that a search result includes."""

from dataclasses import dataclass

from crocusbay.state.verdict import Cause


@dataclass(frozen=True, slots=True)
class MissingService:
    """Count the shards and documents missing from one service, and name the cause."""

    service: str
    cause: Cause
    shards: int
    documents: int


@dataclass(frozen=True, slots=True)
class Coverage:
    """Count the shards and documents answered and those in the snapshot."""

    shards_answered: int
    shards_total: int
    documents_answered: int
    documents_total: int
    missing: tuple[MissingService, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether every shard answered."""
        return self.shards_answered == self.shards_total

    @property
    def ratio(self) -> float:
        """Return the fraction of documents answered, from 0 to 1."""
        if self.documents_total == 0:
            return 1.0 if self.is_complete else 0.0
        return self.documents_answered / self.documents_total
