"""Status that each host publishes to the other hosts."""

import msgspec

from crocusbay.state import Name, Ordinal
from crocusbay_gateway.state.ranges import Age, Era, Period, Rate


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """Describe one host; a later status supersedes an earlier one (seconds).

    `incarnation` increases with each start of the host and `heartbeat_number` with each
    heartbeat. `load` is in requests per second. `gather_time` is the host's own
    processing and transfer time for one request to 100 shards. `*_revision` is the
    store revision of the data that the host has, and `*_age` the time since the store
    last confirmed it. `servers_seen_revision` is the store revision up to which the
    server list is complete. `servers_late_removals` counts removals applied after all
    other changes up to `servers_revision`. `is_cut_off` is whether the host reaches no
    server, and `accepts_handovers` whether it serves requests for such hosts.
    `configuration_version` is None without a configuration. `store_era` is 0 while it
    is not known, and None for hosts of versions that know no eras.
    `crashes_seen_revision` is the store revision up to which the host knows and reports
    the crashes in the store.
    """

    name: Name
    incarnation: Ordinal
    heartbeat_number: Ordinal
    data_centre: Name
    caller_address: Name
    peer_address: Name
    is_ready: bool = False
    is_leaving: bool = False
    reaches_store: bool = True
    load: Rate = 0.0
    gather_time: Period = 0.0
    configuration_revision: Ordinal = 0
    configuration_age: Age = 1e9
    servers_revision: Ordinal = 0
    servers_seen_revision: Ordinal = 0
    servers_age: Age = 1e9
    servers_late_removals: Ordinal = 0
    is_cut_off: bool = False
    accepts_handovers: bool = False
    configuration_version: Ordinal | None = None
    store_era: Era | None = None
    crashes_seen_revision: Ordinal = 0

    @property
    def knows_eras(self) -> bool:
        """Return whether the host notices that the store has been restored."""
        return self.store_era is not None

    def is_newer_than(self, other: "HostStatus") -> bool:
        """Return whether this status supersedes the other one."""
        return (self.incarnation, self.heartbeat_number) > (
            other.incarnation,
            other.heartbeat_number,
        )
