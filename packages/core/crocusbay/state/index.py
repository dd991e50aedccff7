"""Index snapshots: the shards of each index version, and their services."""

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True)
class Shard:
    """Describe one shard at one snapshot."""

    name: str
    service: str
    documents: int


@dataclass(frozen=True)
class Snapshot:
    """List the shards of one index version."""

    version: int
    shards: tuple[Shard, ...]

    @cached_property
    def by_service(self) -> dict[str, tuple[Shard, ...]]:
        """Return the shards of each service."""
        grouped: dict[str, list[Shard]] = {}
        for shard in self.shards:
            grouped.setdefault(shard.service, []).append(shard)
        return {service: tuple(shards) for service, shards in grouped.items()}

    @cached_property
    def documents(self) -> int:
        """Return the total number of documents in all shards."""
        return sum(shard.documents for shard in self.shards)


@dataclass(frozen=True)
class IndexStatus:
    """List the snapshots that upstreams hold, oldest first."""

    snapshots: tuple[Snapshot, ...] = ()

    @cached_property
    def by_version(self) -> dict[int, Snapshot]:
        """Return the snapshots by index version."""
        return {snapshot.version: snapshot for snapshot in self.snapshots}

    @property
    def newest(self) -> Snapshot | None:
        """Return the snapshot with the highest version."""
        return max(self.snapshots, key=lambda each: each.version, default=None)
