"""Transport: connections to upstreams, peers, callers and the platform.

Names are imported on first use, so that a process loads only the libraries that it
needs.
"""

from importlib import import_module

_MODULE_BY_NAME = {
    "Exchange": "exchange",
    "PeerListener": "peer_messaging",
    "PeerSender": "peer_messaging",
    "PlatformClient": "platform",
    "Supervisor": "supervision",
    "Timer": "timers",
    "TimerService": "timers",
    "UpstreamPool": "pool",
    "open_listener": "server",
    "serve": "server",
}

__all__ = [
    "Exchange",
    "PeerListener",
    "PeerSender",
    "PlatformClient",
    "Supervisor",
    "Timer",
    "TimerService",
    "UpstreamPool",
    "open_listener",
    "serve",
]


def __getattr__(name: str) -> object:
    """Import a public name of this package from the module that defines it."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
