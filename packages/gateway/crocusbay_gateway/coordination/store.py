"""Interface to the platform's metadata store."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from crocusbay_gateway.protocol import CrashReport, KnownHost, SuspectedCrash
from crocusbay_gateway.state import Configuration, ServerEntry

# Identifies a suspicion: the fingerprint of the request, and the server process.
SuspicionKey = tuple[str, tuple[str, int]]


class StoreUnavailableError(Exception):
    """Signal that the store did not respond to a call, or rejected it."""


class RevisionExpiredError(Exception):
    """Signal that the store no longer has the changes after a revision."""


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Describe the configuration, if changed, and the store revision read up to.

    `problem` tells why the configuration in the store can't be used, if so.
    `change_revisions` are those of the changes that were read.
    """

    seen_revision: int
    revision: int = 0
    configuration: Configuration | None = None
    problem: str = ""
    change_revisions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ServersChange:
    """List the changed entries and the store revision read up to.

    `change_count` is the number of changes that were read, of which some may have
    changed the same entry.
    """

    seen_revision: int
    entries: tuple[ServerEntry, ...] = ()
    change_count: int = 0


@dataclass(frozen=True, slots=True)
class CrashReportList:
    """List crashes, what each host suspects, and the store revision read up to."""

    seen_revision: int
    reports: tuple[CrashReport, ...] = ()
    suspicions_by_host: Mapping[str, tuple[SuspectedCrash, ...]] = field(
        default_factory=dict
    )


class Store(Protocol):
    """Read, watch and write the store; each method may raise StoreUnavailableError.

    Revisions rise over restores of the store from older copies.
    """

    def subscribe_to_era(self, on_era: Callable[[int], None]) -> None:
        """Register a callback for the era in each response."""

    @property
    def has_overdue_call(self) -> bool:
        """Return whether a call has waited longer than the store usually takes."""

    async def read_configuration(self) -> ConfigurationChange:
        """Return the configuration in force."""

    async def watch_configuration(
        self, after_revision: int, wait: float
    ) -> ConfigurationChange:
        """Wait up to `wait` seconds for a change.

        Raise RevisionExpiredError if the changes after the revision are unknown, as
        after a restore of the store.
        """

    async def list_servers(self) -> ServersChange:
        """Return the entries of all servers."""

    async def watch_servers(self, after_revision: int) -> ServersChange:
        """Return changes after a revision; raise RevisionExpiredError if unknown."""

    async def write_host(self, host: KnownHost) -> None:
        """Write the entry by which other hosts find a host."""

    async def list_hosts(self) -> tuple[KnownHost, ...]:
        """Return the hosts that have an entry."""

    async def remove_host(self, name: str) -> None:
        """Remove the entry of a lost host."""

    async def update_crash_reports(
        self,
        fingerprint: str,
        reports: tuple[CrashReport, ...],
        removed: Collection[tuple[str, int]] = (),
    ) -> tuple[CrashReport, ...]:
        """Add crashes of a request to those that the store holds, and remove others.

        Return the crashes that the store then holds. Crashes are known by server and
        start.
        """

    async def update_suspicions(
        self,
        host: str,
        added: tuple[SuspectedCrash, ...],
        removed: Collection[SuspicionKey] = (),
    ) -> tuple[SuspectedCrash, ...]:
        """Add to what the store holds that a host suspects, and remove some of it.

        Return what the store then holds.
        """

    async def list_crash_reports(self) -> CrashReportList:
        """Return the crashes and suspicions that the store holds."""
