"""HTTP server for callers: hypercorn on a socket opened by this process."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import hypercorn.asyncio
from hypercorn.config import Config

from crocusbay.state import split_address

LISTEN_BACKLOG = 1024
KEEP_ALIVE_SECONDS = 60.0
MAX_HEADER_BYTES = 16_384


def open_listener(address: str) -> tuple[socket.socket, str]:
    """Return a listening socket and its address; port 0 lets the OS choose one."""
    ip, port = split_address(address)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(LISTEN_BACKLOG)
    bound_ip, bound_port = listener.getsockname()
    return listener, f"{bound_ip}:{bound_port}"


async def serve(
    app: Callable,
    listener: socket.socket,
    shutdown: Callable[[], Awaitable[None]],
    drain_limit: float,
) -> None:
    """Serve an ASGI app until `shutdown` returns, then drain (limit in seconds).

    Hypercorn takes ownership of the listener and closes it.
    """
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.graceful_timeout = drain_limit
    config.include_server_header = False
    try:
        await hypercorn.asyncio.serve(
            app, config, shutdown_trigger=shutdown, mode="asgi"
        )
    except (asyncio.CancelledError, asyncio.InvalidStateError):
        # Hypercorn also raises these when requests exceed the drain limit.
        if asyncio.current_task().cancelling():
            raise asyncio.CancelledError from None
