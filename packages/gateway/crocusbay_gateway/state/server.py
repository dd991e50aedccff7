"""Registry entries of upstream servers.

The `name` of a field is the one that hosts send; hosts of other versions rely on it.
"""

import msgspec

from crocusbay.state import Name, Ordinal
from crocusbay_gateway.state.ranges import Count, Period


class ServerEntry(msgspec.Struct, frozen=True):
    """Describe a server, or its removal, at one revision of the registry (seconds).

    `slots` is the number of requests that the server runs in parallel. `started_at`
    distinguishes restarts under the same name. `warm_up_time` is the remaining warm-up
    time, counted from when the entry was written.
    """

    name: Name
    revision: Ordinal
    service: Name = ""
    address: Name = ""
    data_centre: Name = msgspec.field(default="", name="place")
    slots: Count = 1
    is_draining: bool = False
    is_removed: bool = msgspec.field(default=False, name="is_gone")
    warm_up_time: Period = msgspec.field(default=0.0, name="cold_time")
    started_at: Ordinal = 0

    @property
    def is_usable(self) -> bool:
        """Return whether the server accepts new requests."""
        return not (self.is_removed or self.is_draining)

    def differs_in_effect(self, other: "ServerEntry") -> bool:
        """Return whether a host has to act on the change between the entries."""
        if self.is_removed and other.is_removed:
            return False
        return self._effective_fields() != other._effective_fields()

    def goes_back_from(self, known: "ServerEntry") -> bool:
        """Return whether this entry tells of an earlier process, or of its past.

        Removals don't: they may not name the process that was removed.
        """
        if self.is_removed:
            return False
        if known.started_at and self.started_at != known.started_at:
            return self.started_at < known.started_at
        return self._stage < known._stage

    @property
    def _stage(self) -> int:
        """Return the stage of the server's life: in use, leaving or removed."""
        return 2 if self.is_removed else int(self.is_draining)

    def _effective_fields(self) -> tuple:
        return (
            self.service,
            self.address,
            self.data_centre,
            self.slots,
            self.is_draining,
            self.is_removed,
            self.warm_up_time > 0,
            self.started_at,
        )
