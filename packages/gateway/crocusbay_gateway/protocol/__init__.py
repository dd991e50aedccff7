"""HTTP/1.1 encoding and the messages exchanged between hosts."""

from crocusbay_gateway.protocol.dialect import Dialect
from crocusbay_gateway.protocol.peer import (
    Beat,
    KnownHost,
    Strike,
    ViewAnswer,
    ViewQuery,
)
from crocusbay_gateway.protocol.relay import (
    RelayAnswer,
    RelayedFailure,
    RelayedPart,
    RelayedSend,
    RelayLeave,
    RelayQuery,
)
from crocusbay_gateway.protocol.wire import (
    HOP_BY_HOP,
    encode_reply,
    encode_server_request,
    forwardable,
)

__all__ = [
    "HOP_BY_HOP",
    "Beat",
    "Dialect",
    "KnownHost",
    "RelayAnswer",
    "RelayLeave",
    "RelayQuery",
    "RelayedFailure",
    "RelayedPart",
    "RelayedSend",
    "Strike",
    "ViewAnswer",
    "ViewQuery",
    "encode_reply",
    "encode_server_request",
    "forwardable",
]
