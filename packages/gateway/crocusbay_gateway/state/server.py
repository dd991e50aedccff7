"""Servers: the upstreams as the platform's registry lists them."""

import msgspec


class ServerEntry(msgspec.Struct, frozen=True):
    """Describe one server, or that it is gone, at a revision of the registry (seconds).

    `started_at` tells two starts under one name apart. `cold_time` is how long the
    server stays slow after the entry was written.
    """

    name: str
    revision: int
    service: str = ""
    address: str = ""
    place: str = ""
    slots: int = 1
    is_draining: bool = False
    is_gone: bool = False
    cold_time: float = 0.0
    started_at: int = 0

    @property
    def is_usable(self) -> bool:
        """Return whether the server takes new work."""
        return not (self.is_gone or self.is_draining)

    def differs(self, other: "ServerEntry") -> bool:
        """Return whether a host would act differently on the other entry."""
        return self._identity() != other._identity()

    def _identity(self) -> tuple:
        return (
            self.service,
            self.address,
            self.place,
            self.slots,
            self.is_draining,
            self.is_gone,
            self.cold_time > 0,
            self.started_at,
        )
