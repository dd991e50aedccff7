"""Messages between hosts: heartbeats over UDP, views over TCP."""

import msgspec

from crocusbay.state import Name, Ordinal, split_server_address
from crocusbay_gateway.protocol.decoding import decode_message
from crocusbay_gateway.state import (
    Age,
    Configuration,
    Count,
    HostStatus,
    Rate,
    ServerEntry,
)


class KnownHost(msgspec.Struct, frozen=True, array_like=True):
    """Identify a host that the sender has recently received a heartbeat from."""

    name: Name
    peer_address: Name
    data_centre: Name = ""


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Report a server crash during a request with this fingerprint.

    `age` is the time since the crash (seconds). `is_unanswered` is whether no server
    responded to that copy of the request.
    """

    fingerprint: Name
    server: Name
    service: Name = ""
    server_started_at: Ordinal = 0
    age: Age = 0.0
    is_unanswered: bool = True

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the server process."""
        return self.server, self.server_started_at


class SuspectedCrash(msgspec.Struct, frozen=True, array_like=True):
    """Report a server that may have crashed during a request with this fingerprint.

    `age` is the time since the request was sent (seconds). `is_unanswered` is whether
    no server has responded to that copy of the request, `is_reset` whether the
    connection was reset while something listened at the address.
    """

    fingerprint: Name
    server: Name
    service: Name
    server_started_at: Ordinal = 0
    age: Age = 0.0
    is_unanswered: bool = True
    is_reset: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the server process."""
        return self.server, self.server_started_at


class DismissedCrash(msgspec.Struct, frozen=True, array_like=True):
    """Report a server crash that a request did not cause, as a response has shown."""

    fingerprint: Name
    server: Name
    server_started_at: Ordinal = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the server process."""
        return self.server, self.server_started_at


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """Report what a server last stated, `age` seconds ago.

    `rate` is the requests per second that it takes from all hosts together, or None if
    it stated no limit. `is_leaving` is whether it ever stated that it leaves.
    """

    server: Name
    started_at: Ordinal
    rate: Rate | None
    age: Age
    is_leaving: bool = False


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Publish the sender's status, known hosts, crash reports and servers' limits.

    `host_counts_by_data_centre` and `loads_by_data_centre` (requests per second)
    include hosts that were lost recently. `remote_hosts` reach servers from other data
    centres, while hardly any host of the sender's data centre does.
    """

    sender: HostStatus
    known_hosts: tuple[KnownHost, ...] = ()
    crash_reports: tuple[CrashReport, ...] = ()
    host_counts_by_data_centre: dict[Name, Count] = {}
    server_limits: tuple[ServerReport, ...] = ()
    loads_by_data_centre: dict[Name, Rate] = {}
    remote_hosts: tuple[HostStatus, ...] = ()
    dismissed_crashes: tuple[DismissedCrash, ...] = ()
    suspected_crashes: tuple[SuspectedCrash, ...] = ()


class ViewQuery(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """Request a newer configuration, and the server changes since a revision.

    Hosts of versions that know no eras send and compare the configuration's revision
    only. `configuration_version` is None without a configuration.
    """

    configuration_revision: Ordinal = 0
    servers_revision: Ordinal = 0
    configuration_version: Ordinal | None = None


class ViewResponse(msgspec.Struct, frozen=True, array_like=True):
    """Return the requested state (ages: seconds).

    `servers_late_removals` counts removals applied after all other changes up to
    `servers_revision`.
    """

    configuration_revision: Ordinal
    configuration_age: Age
    servers_revision: Ordinal
    servers_seen_revision: Ordinal
    servers_age: Age
    configuration: Configuration | None = None
    servers: tuple[ServerEntry, ...] = ()
    servers_late_removals: Ordinal = 0


class EncodedViewResponse(ViewResponse, frozen=True, array_like=True):
    """Hold a view whose server entries are decoded one by one."""

    servers: tuple[msgspec.Raw, ...] = ()


_view_decoder = msgspec.msgpack.Decoder(EncodedViewResponse)
_entry_decoder = msgspec.msgpack.Decoder(ServerEntry)


def decode_view(data: bytes) -> tuple[ViewResponse, tuple[str, ...]]:
    """Return a view, and why some of its entries can't be used.

    A host of another version may have such entries. Those with a malformed address
    count as removed, others are left out. Raise ValueError if the view is malformed.
    """
    view = decode_message(_view_decoder, data)
    entries, problems = [], []
    for encoded in view.servers:
        try:
            entry = decode_message(_entry_decoder, encoded)
        except ValueError as error:
            problems.append(str(error))
            continue
        try:
            if not entry.is_removed:
                split_server_address(entry.address)
        except ValueError as error:
            problems.append(str(error))
            entry = ServerEntry(entry.name, entry.revision, is_removed=True)
        entries.append(entry)
    fields = {name: getattr(view, name) for name in ViewResponse.__struct_fields__}
    return ViewResponse(**{**fields, "servers": tuple(entries)}), tuple(problems)
