"""Loopback TCP proxy that forwards connections and can inject link faults."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from crocusbay_standins.soak.tcp_server import listen


class LinkFault(StrEnum):
    """Fault that a proxy injects into its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    DROP_RESPONSES = "cut-answers"
    BLACKHOLE = "silence"
    REFUSE = "refuse"


DELAY_SECONDS = 0.2
CHUNK_BYTES = 65_536


@dataclass(eq=False)
class _ProxiedConnection:
    """Both sides of a proxied connection; once `is_silent`, it stays so."""

    client: asyncio.StreamWriter
    upstream: asyncio.StreamWriter
    is_silent: bool = False

    def abort(self) -> None:
        self.client.transport.abort()
        self.upstream.transport.abort()


class Proxy:
    """Proxy in front of one address."""

    def __init__(self, target: str, ip: str = "127.0.0.1") -> None:
        self.target = target
        self._ip = ip
        self.fault = LinkFault.NONE
        # Connections that clients hold open, now and at most.
        self.open_connections = 0
        self.peak_connections = 0
        # A dict keeps the order of opening, so that a seed is reproducible.
        self._connections: dict[_ProxiedConnection, None] = {}
        self._server: asyncio.Server

    @property
    def address(self) -> str:
        """Return the address to connect to, as "ip:port"."""
        return self._address

    async def start(self, port: int = 0) -> str:
        """Listen on a port and return the address; port 0 lets the system choose."""
        self._server, self._address = await listen(self._serve, port, self._ip)
        return self._address

    def close(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault from now on; connections hit by BLACKHOLE stay silent."""
        self.fault = fault
        for connection in list(self._connections):
            if fault in (LinkFault.RESET, LinkFault.REFUSE):
                connection.abort()
            elif fault is LinkFault.BLACKHOLE:
                connection.is_silent = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.REFUSE:
            writer.transport.abort()
            return
        ip, port = self.target.split(":")
        try:
            upstream_reader, upstream = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _ProxiedConnection(
            writer, upstream, self.fault is LinkFault.BLACKHOLE
        )
        self._connections[connection] = None
        await asyncio.gather(
            self._forward_requests(connection, reader),
            self._forward(connection, upstream_reader, writer, is_response=True),
        )
        self._connections.pop(connection, None)

    async def _forward_requests(
        self, connection: _ProxiedConnection, reader: asyncio.StreamReader
    ) -> None:
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        try:
            await self._forward(
                connection, reader, connection.upstream, is_response=False
            )
        finally:
            self.open_connections -= 1

    async def _forward(
        self,
        connection: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                is_dropped = self.fault is LinkFault.DROP_RESPONSES and is_response
                if connection.is_silent or is_dropped:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            connection.abort()
            return
        if not connection.is_silent:
            writer.close()
