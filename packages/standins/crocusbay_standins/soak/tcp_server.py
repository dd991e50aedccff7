"""TCP servers on the loopback interface."""

import asyncio
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def listen(
    serve: ConnectionHandler, port: int = 0, ip: str = "127.0.0.1"
) -> tuple[asyncio.Server, str]:
    """Return a server that serves each connection, and its address as "ip:port".

    Port 0 lets the system choose one.
    """

    async def serve_until_cancelled(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except asyncio.CancelledError:
            # The loop is shutting down; asyncio would log each open connection.
            writer.transport.abort()

    server = await asyncio.start_server(serve_until_cancelled, ip, port)
    ip, port = server.sockets[0].getsockname()
    return server, f"{ip}:{port}"
