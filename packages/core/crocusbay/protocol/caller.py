"""Messages between callers and hosts."""

from dataclasses import dataclass

import msgspec

from crocusbay.protocol.upstream import Hit
from crocusbay.state import Cause, Coverage, Member

MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 60_000
MAX_QUERY_CHARS = 1_000
MAX_BODY_BYTES = 65_536
MAX_ID_CHARS = 128


@dataclass(frozen=True, slots=True)
class EntryReply:
    """List host addresses in order of preference, and how long they are valid."""

    addresses: tuple[str, ...]
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class SearchReply:
    """Reply to a search, with hits from one snapshot."""

    request: str
    deployment: str
    snapshot: int
    coverage: Coverage
    coverage_ratio: float
    is_complete: bool
    deadline_ms: int
    elapsed_ms: float
    hits: tuple[Hit, ...] = ()


@dataclass(frozen=True, slots=True)
class VerdictReply:
    """Reply to a request that did not run or may have run."""

    request: str
    verdict: str
    cause: Cause
    retry_after_ms: int
    detail: str = ""
    coverage: Coverage | None = None


@dataclass(frozen=True, slots=True)
class RanReply:
    """Reply to a document request or an order that ran."""

    request: str
    verdict: str
    answer: msgspec.Raw


@dataclass(frozen=True, slots=True)
class BadRequest:
    """Name the invalid field of a request, its value and what was expected."""

    error: str
    field: str
    value: str
    expected: str


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """Report the state of one upstream server as seen by a host.

    `share` is the number of connections that the host may open to the server.
    """

    name: str
    service: str
    place: str
    is_up: bool
    is_leaving: bool
    latency_ms: float
    in_flight: int
    waiting: int
    connections: int
    connecting: int
    share: int
    pings: int
    closed_by_cause: dict[str, int]


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Report the state of one host: current revision, load and known members."""

    name: str
    place: str
    caller_address: str
    incarnation: int
    is_leaving: bool
    revision: int
    running: int
    limit: int
    config_versions: dict[str, int]
    members: tuple[Member, ...] = ()
    is_platform_up: bool = True
    cpu_seconds: float = 0.0
