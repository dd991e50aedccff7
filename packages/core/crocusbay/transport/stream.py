"""Byte stream to an upstream: immediate writes, one reader woken per chunk."""

import asyncio
from collections import deque

import anyio

MAX_UNSENT_BYTES = 1024 * 1024


class UpstreamStream(asyncio.Protocol):
    """Replace anyio's socket stream, which is too slow for sub-requests.

    anyio yields twice per send and pauses the socket after each receive, which is two
    thirds of the cost of a sub-request (docs/design/upstream-transport.md).
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._chunks: deque[bytes] = deque()
        self._reader: asyncio.Future[None] | None = None
        self._is_ended = False

    def send(self, data: bytes) -> None:
        """Write without waiting.

        Raise BrokenResourceError if the connection is closed or over
        MAX_UNSENT_BYTES are buffered.
        """
        if self._is_ended or self._transport.is_closing():
            raise anyio.BrokenResourceError
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise anyio.BrokenResourceError
        self._transport.write(data)

    async def receive(self) -> bytes:
        """Return the next chunk; raise EndOfStream after the last."""
        while not self._chunks:
            if self._is_ended:
                raise anyio.EndOfStream
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        return self._chunks.popleft()

    def close(self) -> None:
        """Abort the connection without flushing."""
        self._is_ended = True
        self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport (called by the event loop)."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Queue a chunk (called by the event loop)."""
        self._chunks.append(data)
        self._wake()

    def eof_received(self) -> None:
        """Mark the end of the peer's stream (called by the event loop)."""
        self._is_ended = True
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the end of the connection (called by the event loop)."""
        self._is_ended = True
        self._wake()

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)


async def open_stream(ip: str, port: int) -> UpstreamStream:
    """Connect; raise OSError if that fails."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(UpstreamStream, ip, port)
    return stream
