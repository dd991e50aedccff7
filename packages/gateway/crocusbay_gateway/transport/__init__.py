"""Network connections to callers, upstream servers, other hosts and the store."""

from crocusbay_gateway.transport.caller_server import CallerServer
from crocusbay_gateway.transport.http_pages import serve_pages
from crocusbay_gateway.transport.peer import (
    MAX_FRAME_BYTES,
    FrameConnection,
    PeerEndpoint,
    connect_handover,
    connect_relay,
    fetch_view,
)
from crocusbay_gateway.transport.receive_budget import ReceiveBudget
from crocusbay_gateway.transport.server_connection import Exchange, ServerConnection
from crocusbay_gateway.transport.server_pool import Listening, ServerPool

__all__ = [
    "MAX_FRAME_BYTES",
    "CallerServer",
    "Exchange",
    "FrameConnection",
    "Listening",
    "PeerEndpoint",
    "ReceiveBudget",
    "ServerConnection",
    "ServerPool",
    "connect_handover",
    "connect_relay",
    "fetch_view",
    "serve_pages",
]
