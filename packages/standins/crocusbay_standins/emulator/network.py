"""In-memory network: streams and datagrams between nodes, with random latency."""

import asyncio
import errno
import random
from collections import deque
from collections.abc import Callable
from contextvars import Context, copy_context
from dataclasses import dataclass

from crocusbay_standins.emulator.node import Node

# One-way latency between two machines of a data centre.
MIN_LATENCY_SECONDS = 0.0002
MAX_LATENCY_SECONDS = 0.001
EXTERNAL_IP = "127.0.0.1"
FIRST_EPHEMERAL_PORT = 40_000
WRITE_BUFFER_BYTES = 64 * 1024

_EOF = None


class Network:
    """Emulated network: its listeners, endpoints, streams and partitioned links."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        current_node: Callable[[], Node | None],
    ) -> None:
        self.loop = loop
        self.loss_ratio = 0.0
        self._rng = random.Random(f"network {seed}")
        self._current_node = current_node
        self._listeners: dict[tuple[str, int], Listener] = {}
        self._datagrams: dict[tuple[str, int], DatagramTransport] = {}
        # A dict keeps the order of opening, so that a seed is reproducible.
        self._streams: dict[StreamTransport, None] = {}
        self._partitioned_links: set[frozenset[str]] = set()
        self._refused_links: set[frozenset[str]] = set()
        # Sources and targets between which datagrams are lost.
        self._lossy_paths: set[tuple[str, str]] = set()
        self._next_port = FIRST_EPHEMERAL_PORT

    def draw_latency(self) -> float:
        """Draw the latency of the next message (seconds)."""
        return self._rng.uniform(MIN_LATENCY_SECONDS, MAX_LATENCY_SECONDS)

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether two machines are partitioned from each other."""
        return frozenset((one, other)) in self._partitioned_links

    def partition(self, one: str, other: str) -> None:
        """Partition two machines: datagrams are dropped, streams stall."""
        self._partitioned_links.add(frozenset((one, other)))

    def drop_datagrams(self, source: str, target: str) -> None:
        """Drop the datagrams that one machine sends to another one."""
        self._lossy_paths.add((source, target))

    def refuse_connections(self, one: str, other: str) -> None:
        """Refuse new connections between two machines; open ones live on."""
        self._refused_links.add(frozenset((one, other)))

    def reset_connections(self, one: str, other: str) -> None:
        """Reset the open connections between two machines."""
        for stream in list(self._streams):
            if {stream.own_address[0], stream.peer_address[0]} == {one, other}:
                stream.receive_reset()

    def heal(self) -> None:
        """End all partitions and refusals, and resume the streams that stalled."""
        self._partitioned_links.clear()
        self._lossy_paths.clear()
        self._refused_links.clear()
        for stream in list(self._streams):
            stream.resume_delivery()

    def kill(self, node: Node) -> None:
        """Mark a node as dead and close its sockets, as its operating system would."""
        node.is_killed = True
        for stream in list(self._streams):
            if stream.node is node:
                stream.abort()
                self.remove_stream(stream)
        for by_address in (self._listeners, self._datagrams):
            for address, each in list(by_address.items()):
                if each.node is node:
                    del by_address[address]

    def listen(self, protocol_factory: Callable, ip: str, port: int) -> "Listener":
        """Return a new listener; port 0 picks a free one. Raise OSError if in use."""
        port = port or self._free_port()
        if (ip, port) in self._listeners:
            raise OSError(errno.EADDRINUSE, f"{ip}:{port} is in use")
        listener = Listener(self, protocol_factory, (ip, port), self._current_node())
        self._listeners[ip, port] = listener
        return listener

    def remove_listener(self, listener: "Listener") -> None:
        """Remove a listener; its connections stay open."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    def bind(self, protocol_factory: Callable, ip: str, port: int):
        """Return a new datagram transport and its protocol."""
        protocol = protocol_factory()
        transport = DatagramTransport(self, (ip, port), protocol, self._current_node())
        self._datagrams[ip, port] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def unbind(self, transport: "DatagramTransport") -> None:
        """Remove a datagram endpoint."""
        if self._datagrams.get(transport.address) is transport:
            del self._datagrams[transport.address]

    def send_datagram(
        self, data: bytes, source: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Deliver a datagram unless it is lost or its target is not bound."""
        if (
            self.is_partitioned(source[0], target[0])
            or (source[0], target[0]) in self._lossy_paths
            or self._rng.random() < self.loss_ratio
        ):
            return

        def deliver() -> None:
            transport = self._datagrams.get(target)
            if transport is not None:
                transport.receive(data, source)

        # In an empty context, outside all nodes: the receiver may be gone by then.
        self.loop.call_later(self.draw_latency(), deliver, context=Context())

    async def connect(self, protocol_factory: Callable, ip: str, port: int):
        """Return a connected transport and its protocol.

        Raise ConnectionRefusedError without a listener, ConnectionResetError if the
        other side aborts meanwhile.
        """
        node = self._current_node()
        source = node.ip if node else EXTERNAL_IP
        while self.is_partitioned(source, ip):
            # As TCP, which retransmits its SYN.
            await asyncio.sleep(1.0)
        await asyncio.sleep(self.draw_latency())
        listener = self._listeners.get((ip, port))
        if listener is None or frozenset((source, ip)) in self._refused_links:
            await asyncio.sleep(self.draw_latency())
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"{ip}:{port} refused")
        client = StreamTransport(
            self, node, copy_context(), (source, self._free_port()), (ip, port)
        )
        server = StreamTransport(
            self,
            listener.node,
            listener.context,
            client.peer_address,
            client.own_address,
        )
        client.peer, server.peer = server, client
        self._streams[client] = None
        self._streams[server] = None
        self.loop.call_soon(
            server.open, listener.protocol_factory, context=listener.context
        )
        try:
            await asyncio.sleep(self.draw_latency())
        except asyncio.CancelledError:
            client.abort()
            raise
        if client.is_closing():
            raise ConnectionResetError(errno.ECONNRESET, f"{ip}:{port} reset")
        protocol = client.open(protocol_factory)
        return client, protocol

    def remove_stream(self, stream: "StreamTransport") -> None:
        """Remove a stream that has ended."""
        self._streams.pop(stream, None)

    def _free_port(self) -> int:
        self._next_port += 1
        return self._next_port


@dataclass(frozen=True, slots=True)
class _ListeningSocket:
    """Listening socket, as found in `asyncio.Server.sockets`."""

    address: tuple[str, int]

    def getsockname(self) -> tuple[str, int]:
        """Return the listening address (IP, port)."""
        return self.address


class Listener:
    """Emulated `asyncio.Server`."""

    def __init__(
        self,
        network: Network,
        protocol_factory: Callable,
        address: tuple[str, int],
        node: Node | None,
    ) -> None:
        self.protocol_factory = protocol_factory
        self.address = address
        self.node = node
        self.context = copy_context()
        self.sockets = (_ListeningSocket(address),)
        self._network = network

    def close(self) -> None:
        """Stop accepting connections."""
        self._network.remove_listener(self)

    async def wait_closed(self) -> None:
        """Return immediately: closing is synchronous."""


class DatagramTransport(asyncio.DatagramTransport):
    """Datagram endpoint bound to one address."""

    def __init__(
        self,
        network: Network,
        address: tuple[str, int],
        protocol: asyncio.DatagramProtocol,
        node: Node | None,
    ) -> None:
        super().__init__()
        self.address = address
        self.node = node
        self._network = network
        self._protocol = protocol
        self._context = copy_context()

    def sendto(self, data: bytes, addr: tuple[str, int] | None = None) -> None:
        """Send a datagram to an address (IP, port)."""
        self._network.send_datagram(bytes(data), self.address, addr)

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Pass a datagram to the protocol, on behalf of its node."""
        self._network.loop.call_soon(
            self._protocol.datagram_received,
            data,
            source,
            context=self._context,
        )

    def close(self) -> None:
        """Unbind the endpoint."""
        self._network.unbind(self)


class StreamTransport(asyncio.Transport):
    """One side of a stream; the other side receives what it writes, in order."""

    def __init__(
        self,
        network: Network,
        node: Node | None,
        context: Context,
        own_address: tuple[str, int],
        peer_address: tuple[str, int],
    ) -> None:
        super().__init__({"peername": peer_address, "sockname": own_address})
        self.node = node
        self.own_address = own_address
        self.peer_address = peer_address
        self.peer: StreamTransport
        self._network = network
        self._context = context
        self._protocol: asyncio.Protocol | None = None
        # In transit to the other side: chunks of bytes, or _EOF.
        self._in_transit: deque[bytes | None] = deque()
        self._receive_buffer: deque[bytes | None] = deque()
        self._is_closing = False
        self._is_aborted = False
        self._is_lost = False
        self._is_reading = True

    def open(self, protocol_factory: Callable) -> asyncio.Protocol:
        """Create the protocol and call its `connection_made`."""
        self._protocol = protocol_factory()
        self._protocol.connection_made(self)
        self._call_in_node(self._read_buffered)
        return self._protocol

    def write(self, data: bytes) -> None:
        """Send a chunk of bytes; ignore it once the stream is closing."""
        if data and not self._is_closing:
            self._in_transit.append(bytes(data))
            self._schedule()

    def writelines(self, list_of_data) -> None:
        """Send several chunks as one."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """Close the sending side of the stream."""
        self._in_transit.append(_EOF)
        self._schedule()

    def can_write_eof(self) -> bool:
        """Return True: the sending side can be closed alone."""
        return True

    def close(self) -> None:
        """Close the stream once everything written has been sent."""
        if not self._is_closing:
            self._is_closing = True
            self._in_transit.append(_EOF)
            self._schedule()
            self._call_in_node(self._close_connection, None)

    def abort(self) -> None:
        """Close the stream at once and reset the other side."""
        if self._is_aborted:
            return
        self._is_closing = self._is_aborted = True
        self._in_transit.clear()
        self._call_in_node(self._close_connection, None)
        self._reset_peer()

    def receive_reset(self) -> None:
        """Close the stream with a reset by the other side, unless partitioned."""
        is_partitioned = self._network.is_partitioned(
            self.own_address[0], self.peer_address[0]
        )
        if not self._is_lost and not is_partitioned:
            self._is_closing = self._is_aborted = True
            self._call_in_node(
                self._close_connection, ConnectionResetError(errno.ECONNRESET, "reset")
            )

    def is_closing(self) -> bool:
        """Return whether the stream is closing or closed."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Buffer received chunks instead of passing them to the protocol."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Pass buffered chunks to the protocol and stop buffering."""
        self._is_reading = True
        self._call_in_node(self._read_buffered)

    def is_reading(self) -> bool:
        """Return whether received chunks are passed to the protocol."""
        return self._is_reading

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes in transit to the other side."""
        return sum(len(chunk) for chunk in self._in_transit if chunk)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return nominal limits (bytes): writing is never paused."""
        return 0, WRITE_BUFFER_BYTES

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore limits: the network accepts any amount of data."""

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Pass further chunks to another protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol | None:
        """Return the protocol, None before the stream is open."""
        return self._protocol

    def resume_delivery(self) -> None:
        """Schedule delivery of the chunks that a partition held back."""
        for _ in self._in_transit:
            self._schedule()

    def _schedule(self) -> None:
        # In an empty context, outside all nodes: bytes in transit arrive even while
        # their sender is paused.
        self._network.loop.call_later(
            self._network.draw_latency(), self._deliver, context=Context()
        )

    def _deliver(self) -> None:
        if not self._in_transit:
            return
        if self._network.is_partitioned(self.own_address[0], self.peer_address[0]):
            return
        chunk = self._in_transit.popleft()
        self.peer.receive(chunk)
        if self._is_closing and not self._in_transit:
            self._network.remove_stream(self)

    def receive(self, chunk: bytes | None) -> None:
        """Receive a chunk; reset the other side if this one is already closed."""
        if self._is_aborted or self._is_lost:
            if chunk is not _EOF:
                self._reset_peer()
            return
        self._receive_buffer.append(chunk)
        if self._protocol is not None:
            self._call_in_node(self._read_buffered)

    def _reset_peer(self) -> None:
        self._network.loop.call_later(
            self._network.draw_latency(), self.peer.receive_reset, context=Context()
        )

    def _read_buffered(self) -> None:
        while self._receive_buffer and self._is_reading and not self._is_lost:
            chunk = self._receive_buffer.popleft()
            if chunk is not _EOF:
                if not self._is_closing:
                    self._protocol.data_received(chunk)
            elif not self._protocol.eof_received():
                self.close()

    def _close_connection(self, error: Exception | None) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        if not self._in_transit:
            self._network.remove_stream(self)
        if self._protocol is not None:
            self._protocol.connection_lost(error)

    def _call_in_node(self, callback: Callable, *args) -> None:
        """Schedule a callback on behalf of the node of this side."""
        self._network.loop.call_soon(callback, *args, context=self._context)
