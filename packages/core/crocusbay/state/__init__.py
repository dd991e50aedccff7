"""State: immutable types for deployments, hosts, upstreams and requests."""

from crocusbay.state.coverage import Coverage, MissingService
from crocusbay.state.deployment import (
    Change,
    Deployment,
    Policy,
    Service,
    ServiceKind,
)
from crocusbay.state.event import Event, EventKind, Timeline, merge_events
from crocusbay.state.index import IndexStatus, Shard, Snapshot
from crocusbay.state.member import Load, Member
from crocusbay.state.ranges import Name, Ordinal
from crocusbay.state.stamp import HybridClock, Stamp, parse_stamp
from crocusbay.state.upstream import (
    Upstream,
    UpstreamStatus,
    split_address,
    split_server_address,
)
from crocusbay.state.verdict import Cause, MayHaveRun, NotRun, Ran, Verdict

__all__ = [
    "Cause",
    "Change",
    "Coverage",
    "Deployment",
    "Event",
    "EventKind",
    "HybridClock",
    "IndexStatus",
    "Load",
    "MayHaveRun",
    "Member",
    "MissingService",
    "Name",
    "NotRun",
    "Ordinal",
    "Policy",
    "Ran",
    "Service",
    "ServiceKind",
    "Shard",
    "Snapshot",
    "Stamp",
    "Timeline",
    "Upstream",
    "UpstreamStatus",
    "Verdict",
    "merge_events",
    "parse_stamp",
    "split_address",
    "split_server_address",
]
