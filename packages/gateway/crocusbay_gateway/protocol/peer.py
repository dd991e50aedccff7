"""Messages between hosts: heartbeats over UDP, views over TCP."""

import msgspec

from crocusbay_gateway.state import Configuration, HostStatus, ServerEntry


class KnownHost(msgspec.Struct, frozen=True, array_like=True):
    """Identify a host that the sender has recently received a heartbeat from."""

    name: str
    peer_address: str
    data_centre: str = ""


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Report a server crash during a request with this fingerprint.

    `age` is the time since the crash (seconds). `is_unanswered` is whether no server
    responded to that copy of the request.
    """

    fingerprint: str
    server: str
    service: str = ""
    server_started_at: int = 0
    age: float = 0.0
    is_unanswered: bool = True


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """Report what a server last stated, `age` seconds ago.

    `rate` is the requests per second that it takes from all hosts together, or None if
    it stated no limit. `is_leaving` is whether it ever stated that it leaves.
    """

    server: str
    started_at: int
    rate: float | None
    age: float
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
    host_counts_by_data_centre: dict[str, int] = {}
    server_limits: tuple[ServerReport, ...] = ()
    loads_by_data_centre: dict[str, float] = {}
    remote_hosts: tuple[HostStatus, ...] = ()


class ViewQuery(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """Request a newer configuration, and the server changes since a revision.

    Hosts of versions that know no eras send and compare the configuration's revision
    only. `configuration_version` is None without a configuration.
    """

    configuration_revision: int = 0
    servers_revision: int = 0
    configuration_version: int | None = None


class ViewResponse(msgspec.Struct, frozen=True, array_like=True):
    """Return the requested state (ages: seconds).

    `servers_late_removals` counts removals applied after all other changes up to
    `servers_revision`.
    """

    configuration_revision: int
    configuration_age: float
    servers_revision: int
    servers_seen_revision: int
    servers_age: float
    configuration: Configuration | None = None
    servers: tuple[ServerEntry, ...] = ()
    servers_late_removals: int = 0
