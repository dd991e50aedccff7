"""HTTP/1.1 encoding and the messages exchanged between hosts."""

from crocusbay_gateway.protocol.decoding import decode_message
from crocusbay_gateway.protocol.handover import (
    HandoverCancel,
    HandoverReply,
    HandoverRequest,
)
from crocusbay_gateway.protocol.http_conventions import HttpConventions
from crocusbay_gateway.protocol.http_messages import (
    HOP_BY_HOP_HEADERS,
    encode_reply,
    encode_server_request,
    forwardable_headers,
)
from crocusbay_gateway.protocol.peer import (
    CrashReport,
    DismissedCrash,
    Heartbeat,
    KnownHost,
    ServerReport,
    SuspectedCrash,
    ViewQuery,
    ViewResponse,
    decode_view,
)
from crocusbay_gateway.protocol.relay import (
    RelayCancel,
    RelayedFailure,
    RelayedPart,
    RelayedSubRequest,
    RelayQuery,
    RelayResponse,
)

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "CrashReport",
    "DismissedCrash",
    "HandoverCancel",
    "HandoverReply",
    "HandoverRequest",
    "Heartbeat",
    "HttpConventions",
    "KnownHost",
    "RelayCancel",
    "RelayQuery",
    "RelayResponse",
    "RelayedFailure",
    "RelayedPart",
    "RelayedSubRequest",
    "ServerReport",
    "SuspectedCrash",
    "ViewQuery",
    "ViewResponse",
    "decode_message",
    "decode_view",
    "encode_reply",
    "encode_server_request",
    "forwardable_headers",
]
