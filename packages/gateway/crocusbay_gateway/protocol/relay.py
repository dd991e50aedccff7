"""Messages by which a host delegates sub-requests to another host (relay)."""

import msgspec

from crocusbay.state import Cause, Name, Ordinal
from crocusbay_gateway.state import Age, Count, Period, RemainingTime


class RelayedSubRequest(msgspec.Struct, frozen=True, array_like=True):
    """Identify the server that receives one sub-request."""

    service: Name
    server: Name


class RelayQuery(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Request that a host forwards a request to servers in its data centre (seconds).

    Responses received within `flush_after` are returned in one batch, later ones one by
    one. `remaining_time` is the time left for the servers. `top_k` is the number of
    records in the reply to the caller. `fingerprint` is the same for all copies of the
    caller's request; hosts of older versions send none. With `merges_parts`, records
    are dropped that can't be among the greatest of all parts of the query.
    """

    query_id: Ordinal
    attempt_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    remaining_time: RemainingTime
    flush_after: Period
    top_k: Count
    sub_requests: tuple[RelayedSubRequest, ...]
    fingerprint: str = ""
    merges_parts: bool = True


class RelayCancel(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Cancel some sub-requests of a query, given by their indices."""

    query_id: Ordinal
    sub_request_indices: tuple[Count, ...]


class RelayedPart(msgspec.Struct, frozen=True, array_like=True):
    """Return the greatest records of one server and its response time (seconds).

    `sub_request_index` is the index of the sub-request in its query.
    """

    sub_request_index: Count
    elapsed: Age
    signature: bytes
    records: bytes


class RelayedFailure(msgspec.Struct, frozen=True, array_like=True):
    """Report a failed sub-request; `is_sent` is whether it was sent to the server.

    `sub_request_index` is the index of the sub-request in its query, `rest_time` for
    how long the relay may not send to the server (seconds).
    """

    sub_request_index: Count
    is_sent: bool
    may_have_run: bool
    cause: Cause
    detail: str = ""
    rest_time: Age = 0.0


class RelayResponse(msgspec.Struct, frozen=True, array_like=True):
    """Return the results of a query since the previous response."""

    query_id: Ordinal
    parts: tuple[RelayedPart, ...] = ()
    failures: tuple[RelayedFailure, ...] = ()
