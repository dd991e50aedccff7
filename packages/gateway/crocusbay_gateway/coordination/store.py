"""Store: what the product needs of the platform's metadata store."""

from dataclasses import dataclass
from typing import Protocol

from crocusbay_gateway.protocol import KnownHost
from crocusbay_gateway.state import Configuration, ServerEntry


class StoreUnavailableError(Exception):
    """Report a call that the store did not answer, or refused."""


class HistoryLostError(Exception):
    """Report that the store no longer knows the changes after a revision."""


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Hold the newest configuration, if it changed, and how far the store was seen."""

    seen: int
    revision: int = 0
    configuration: Configuration | None = None


@dataclass(frozen=True, slots=True)
class ServersChange:
    """Hold the entries that changed and how far the store was seen."""

    seen: int
    entries: tuple[ServerEntry, ...] = ()


class Store(Protocol):
    """Read and watch the store; each method raises StoreUnavailableError."""

    @property
    def is_unanswered(self) -> bool:
        """Return whether a call waits for longer than the store usually takes."""

    async def read_configuration(self) -> ConfigurationChange:
        """Return the configuration in force."""

    async def watch_configuration(self, after: int, wait: float) -> ConfigurationChange:
        """Wait for a change (seconds); raise HistoryLostError if it can't be told."""

    async def list_servers(self) -> ServersChange:
        """Return the entries of all servers."""

    async def watch_servers(self, after: int) -> ServersChange:
        """Return changes after a revision; raise HistoryLostError if unknown."""

    async def announce(self, host: KnownHost) -> None:
        """Write how other hosts reach this one."""

    async def list_hosts(self) -> tuple[KnownHost, ...]:
        """Return the hosts that announced themselves."""

    async def remove_host(self, name: str) -> None:
        """Remove the entry of a host that is gone."""
