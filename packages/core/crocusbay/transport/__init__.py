"""Transport: connections to upstreams, peers, callers and the platform."""

from crocusbay.transport.exchange import Exchange
from crocusbay.transport.peers import PeerListener, PeerSender
from crocusbay.transport.platform import PlatformClient
from crocusbay.transport.pool import UpstreamPool
from crocusbay.transport.server import open_listener, serve
from crocusbay.transport.timers import Timer, TimerService

__all__ = [
    "Exchange",
    "PeerListener",
    "PeerSender",
    "PlatformClient",
    "Timer",
    "TimerService",
    "UpstreamPool",
    "open_listener",
    "serve",
]
