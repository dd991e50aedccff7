"""Messages between hosts: beats over UDP, views over a TCP connection of their own.

Datagrams have no connection that could go silent, and a beat lost is made good by the
next. A view is fetched on a new connection, since it is seldom needed.
"""

import asyncio
import socket
import zlib
from collections.abc import Callable

import anyio
import msgspec

from crocusbay.state import split_address
from crocusbay_gateway.protocol import Beat, ViewAnswer, ViewQuery

FETCH_TIMEOUT_SECONDS = 1.5
MAX_VIEW_BYTES = 16 * 1024 * 1024
MAX_QUERY_BYTES = 1024
# Larger datagrams are split by the network and lost more often.
MAX_BEAT_BYTES = 1_400

_beat_decoder = msgspec.msgpack.Decoder(Beat)
_query_decoder = msgspec.msgpack.Decoder(ViewQuery)
_answer_decoder = msgspec.msgpack.Decoder(ViewAnswer)
_encoder = msgspec.msgpack.Encoder()


class PeerEndpoint(asyncio.DatagramProtocol):
    """Send and receive beats, and answer queries for views."""

    def __init__(
        self,
        on_beat: Callable[[Beat], None],
        answer: Callable[[ViewQuery], ViewAnswer],
        on_malformed: Callable[[str], None],
    ) -> None:
        self.sent_bytes = 0
        self._on_beat = on_beat
        self._answer = answer
        self._on_malformed = on_malformed
        self._transport: asyncio.DatagramTransport
        self._server: asyncio.Server

    async def start(self, ip: str, port: int) -> str:
        """Listen on one port for datagrams and streams; return the address bound."""
        loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(
            self._serve_view, ip, port, family=socket.AF_INET
        )
        bound = self._server.sockets[0].getsockname()[1]
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, bound))
        return f"{ip}:{bound}"

    def close(self) -> None:
        """Close both sockets."""
        self._server.close()
        self._transport.close()

    def send(self, beat: Beat, addresses: list[str]) -> None:
        """Send a beat to each address."""
        data = _encoder.encode(beat)
        for address in addresses:
            self.sent_bytes += len(data)
            self._transport.sendto(data, split_address(address))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport (called by the event loop)."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a beat (called by the event loop)."""
        try:
            beat = _beat_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._on_malformed(f"beat of {address[0]}: {error}")
            return
        self._on_beat(beat)

    def error_received(self, error: OSError) -> None:
        """Ignore an unreachable peer, which its silence shows (event loop)."""

    async def _serve_view(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with anyio.move_on_after(FETCH_TIMEOUT_SECONDS):
                data = await reader.read(MAX_QUERY_BYTES)
                answer = self._answer(_query_decoder.decode(data))
                writer.write(zlib.compress(_encoder.encode(answer), 1))
                await writer.drain()
        except (OSError, msgspec.DecodeError) as error:
            self._on_malformed(f"query for a view: {error}")
        finally:
            writer.close()


async def fetch_view(address: str, query: ViewQuery) -> ViewAnswer:
    """Return a peer's answer; raise OSError, TimeoutError or ValueError."""
    ip, port = split_address(address)
    with anyio.fail_after(FETCH_TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(_encoder.encode(query))
            data = await reader.read(-1)
        finally:
            writer.close()
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_VIEW_BYTES)
        return _answer_decoder.decode(plain)
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"view of {address}: {error}") from error
