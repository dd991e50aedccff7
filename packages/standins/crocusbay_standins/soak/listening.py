"""Listening on loopback."""

import asyncio
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(serve: Serve, port: int = 0) -> tuple[asyncio.Server, str]:
    """Return a server that serves each connection, and its address.

    Port 0 stands for one that the system chooses.
    """

    async def serve_until_cancelled(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except asyncio.CancelledError:
            # The loop ends; asyncio would log each connection that is left.
            writer.transport.abort()

    server = await asyncio.start_server(serve_until_cancelled, "127.0.0.1", port)
    ip, port = server.sockets[0].getsockname()
    return server, f"{ip}:{port}"
