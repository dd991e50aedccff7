"""Messages by which a host has another host serve a whole request."""

import msgspec

from crocusbay.state import Ordinal
from crocusbay_gateway.state import RemainingTime, Reply


class HandoverRequest(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """Request that a host serves a caller's request (seconds).

    `remaining_time` is the time left for the reply, or None if the caller set no
    deadline.
    """

    handover_id: Ordinal
    attempt_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    caller_ip: str
    remaining_time: RemainingTime | None


class HandoverCancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancel a request, as when its caller has left."""

    handover_id: Ordinal


class HandoverReply(msgspec.Struct, frozen=True, array_like=True):
    """Return the reply to a request."""

    handover_id: Ordinal
    reply: Reply
