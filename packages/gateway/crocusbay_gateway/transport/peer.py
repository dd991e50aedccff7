"""Transport between hosts: heartbeats over UDP, views and relayed requests over TCP.

Datagrams have no connection that could stall, and the next heartbeat makes up for a
lost one. A view, the configuration and servers known to a host, is fetched over a
new connection because this is rare; connections for relayed requests are persistent.
"""

import asyncio
import socket
import zlib
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from crocusbay.state import split_address, split_server_address
from crocusbay_gateway.protocol import (
    HandoverCancel,
    HandoverReply,
    HandoverRequest,
    Heartbeat,
    KnownHost,
    RelayCancel,
    RelayQuery,
    RelayResponse,
    ViewQuery,
    ViewResponse,
    decode_message,
    decode_view,
)
from crocusbay_gateway.state import HostStatus
from crocusbay_gateway.transport.receive_budget import ReceiveBudget

FETCH_TIMEOUT_SECONDS = 1.5
MAX_VIEW_BYTES = 16 * 1024 * 1024
MAX_COMPRESSED_VIEW_BYTES = 4 * 1024 * 1024
VIEW_CHUNK_BYTES = 64 * 1024
# Fits the largest request body and its headers, with room for higher body limits.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# A host is considered unresponsive when more unsent bytes than this are buffered.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
LENGTH_PREFIX_BYTES = 4
# Larger datagrams are fragmented by the network and lost more often.
MAX_HEARTBEAT_BYTES = 1_400

_heartbeat_decoder = msgspec.msgpack.Decoder(Heartbeat)
_query_decoder = msgspec.msgpack.Decoder(
    ViewQuery | RelayQuery | RelayCancel | HandoverRequest | HandoverCancel
)
_relay_response_decoder = msgspec.msgpack.Decoder(RelayResponse)
_handover_reply_decoder = msgspec.msgpack.Decoder(HandoverReply)
_encoder = msgspec.msgpack.Encoder()


class FrameConnection(asyncio.Protocol):
    """Exchange length-prefixed messages with another host."""

    def __init__(
        self,
        decoder: msgspec.msgpack.Decoder,
        on_message: Callable[["FrameConnection", Any], None],
        on_lost: Callable[["FrameConnection"], None] = lambda connection: None,
        on_malformed: Callable[[str], None] = lambda reason: None,
        *,
        budget: ReceiveBudget,
    ) -> None:
        self.is_closed = False
        self._budget = budget
        self._decoder = decoder
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_malformed = on_malformed
        self._received = bytearray()
        self._transport: asyncio.Transport

    def send(self, message: msgspec.Struct) -> int:
        """Send a message; return its size in bytes, or 0 if the connection is closed.

        Abort the connection if the other host stops reading.
        """
        if self.is_closed:
            return 0
        data = encode_frame(message)
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport.abort()
        return len(data)

    @property
    def peer_ip(self) -> str:
        """Return the IP address of the other host."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def send_and_close(self, data: bytes) -> None:
        """Send unframed data and close the connection."""
        self._transport.write(data)
        self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately, discarding unsent data."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport (called by the event loop)."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decode each complete message (called by the event loop)."""
        self._received += data
        self._decode_received()
        if not self.is_closed:
            self._budget.set_size(self._cut_off, len(self._received))

    def _decode_received(self) -> None:
        while not self.is_closed and len(self._received) >= LENGTH_PREFIX_BYTES:
            end = LENGTH_PREFIX_BYTES + int.from_bytes(
                self._received[:LENGTH_PREFIX_BYTES]
            )
            if end > MAX_FRAME_BYTES:
                self._reject(f"message too large: {end} bytes")
                return
            if len(self._received) < end:
                return
            content = bytes(self._received[LENGTH_PREFIX_BYTES:end])
            del self._received[:end]
            try:
                message = decode_message(self._decoder, content)
            except ValueError as error:
                self._reject(str(error))
                return
            self._on_message(self, message)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the closed connection (called by the event loop)."""
        self.is_closed = True
        self._release()
        self._on_lost(self)

    def _cut_off(self) -> None:
        self._reject("incomplete messages exceed the memory for them")

    def _reject(self, reason: str) -> None:
        self._on_malformed(reason)
        self._release()
        self._transport.abort()

    def _release(self) -> None:
        """Release the memory of an incomplete message."""
        self._received = bytearray()
        self._budget.set_size(self._cut_off, 0)


def encode_frame(message: msgspec.Struct) -> bytes:
    """Return the encoded message with its length prefix."""
    content = _encoder.encode(message)
    return len(content).to_bytes(LENGTH_PREFIX_BYTES) + content


class PeerEndpoint(asyncio.DatagramProtocol):
    """Send and receive heartbeats, and accept queries from other hosts.

    `answer_view_query` returns the response to a view query; `on_view_sent` is called
    with the IP address of its receiver and its size. `on_query` is called with the
    connection and every other query. Incomplete ones count for the budget.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], None],
        answer_view_query: Callable[[ViewQuery], ViewResponse],
        on_malformed: Callable[[str], None],
        on_query: Callable[[FrameConnection, msgspec.Struct], None],
        on_lost: Callable[[FrameConnection], None],
        on_view_sent: Callable[[str, int], None] = lambda ip, size: None,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.address = ""
        self._budget = budget or ReceiveBudget()
        self._on_view_sent = on_view_sent
        self._on_heartbeat = on_heartbeat
        self._answer_view_query = answer_view_query
        self._on_query = on_query
        self._on_lost = on_lost
        self._on_malformed = on_malformed
        self._transport: asyncio.DatagramTransport
        self._server: asyncio.Server

    async def start(self, ip: str, port: int) -> str:
        """Listen on one port over UDP and TCP; return `address` (ip:port).

        Raise OSError if the port is in use, and listen on neither then. Heartbeats may
        be received, and answered with the address, before the end.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: FrameConnection(
                _query_decoder,
                self._handle_query,
                self._on_lost,
                self._on_malformed,
                budget=self._budget,
            ),
            ip,
            port,
            family=socket.AF_INET,
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{bound_port}"
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(ip, bound_port)
            )
        except OSError:
            self._server.close()
            raise
        return self.address

    def close(self) -> None:
        """Close the UDP and the TCP socket."""
        self._server.close()
        self._transport.close()

    def send_heartbeat(self, heartbeat: Heartbeat, addresses: list[str]) -> int:
        """Send a heartbeat to each address (ip:port); return its size in bytes."""
        data = _encoder.encode(heartbeat)
        for address in addresses:
            self._transport.sendto(data, split_address(address))
        return len(data)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport (called by the event loop)."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a heartbeat (called by the event loop)."""
        try:
            heartbeat = decode_message(_heartbeat_decoder, data)
            split_server_address(heartbeat.sender.peer_address)
        except ValueError as error:
            self._on_malformed(f"heartbeat from {address[0]}: {error}")
            return
        self._on_heartbeat(
            msgspec.structs.replace(
                heartbeat,
                known_hosts=tuple(filter(_is_reachable, heartbeat.known_hosts)),
                remote_hosts=tuple(filter(_is_reachable, heartbeat.remote_hosts)),
            )
        )

    def error_received(self, error: OSError) -> None:
        """Ignore send errors; missing heartbeats reveal an unreachable host."""

    def _handle_query(self, connection: FrameConnection, query: Any) -> None:
        if isinstance(query, ViewQuery):
            response = _encoder.encode(self._answer_view_query(query))
            data = zlib.compress(response, 1)
            self._on_view_sent(connection.peer_ip, len(data))
            connection.send_and_close(data)
        else:
            self._on_query(connection, query)


def _is_reachable(host: KnownHost | HostStatus) -> bool:
    """Return whether the address of a host is well-formed."""
    try:
        split_server_address(host.peer_address)
    except ValueError:
        return False
    return True


async def connect_relay(
    address: str,
    on_response: Callable[[FrameConnection, RelayResponse], None],
    on_lost: Callable[[FrameConnection], None],
    budget: ReceiveBudget,
) -> FrameConnection:
    """Return a relay connection to a host; raise OSError or TimeoutError."""
    return await _connect(
        address, _relay_response_decoder, on_response, on_lost, budget
    )


async def connect_handover(
    address: str,
    on_reply: Callable[[FrameConnection, HandoverReply], None],
    on_lost: Callable[[FrameConnection], None],
    budget: ReceiveBudget,
) -> FrameConnection:
    """Return a handover connection to a host; raise OSError or TimeoutError."""
    return await _connect(address, _handover_reply_decoder, on_reply, on_lost, budget)


async def _connect(
    address: str,
    decoder: msgspec.msgpack.Decoder,
    on_message: Callable[[FrameConnection, Any], None],
    on_lost: Callable[[FrameConnection], None],
    budget: ReceiveBudget,
) -> FrameConnection:
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    with anyio.fail_after(FETCH_TIMEOUT_SECONDS):
        _, connection = await loop.create_connection(
            lambda: FrameConnection(decoder, on_message, on_lost, budget=budget),
            ip,
            port,
        )
    return connection


async def fetch_view(
    address: str, query: ViewQuery
) -> tuple[ViewResponse, tuple[str, ...]]:
    """Return another host's view, and why some of its entries can't be used.

    Raise OSError, TimeoutError or ValueError.
    """
    ip, port = split_address(address)
    with anyio.fail_after(FETCH_TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(encode_frame(query))
            data = await _read_view(address, reader)
        finally:
            writer.close()
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_VIEW_BYTES)
        if not decompressor.eof:
            raise ValueError(f"view from {address} is cut off or too large")
        return decode_view(decompressed)
    except (zlib.error, ValueError) as error:
        raise ValueError(f"malformed view from {address}: {error}") from error


async def _read_view(address: str, reader: asyncio.StreamReader) -> bytes:
    """Return all bytes of a compressed view; raise ValueError if there are too many."""
    received = bytearray()
    while data := await reader.read(VIEW_CHUNK_BYTES):
        received += data
        if len(received) > MAX_COMPRESSED_VIEW_BYTES:
            raise ValueError(
                f"view from {address} exceeds {MAX_COMPRESSED_VIEW_BYTES} bytes"
            )
    return bytes(received)
