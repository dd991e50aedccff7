"""Network in memory: streams and datagrams between nodes, each with its delay."""

import asyncio
import errno
import random
from collections import deque
from collections.abc import Callable
from contextvars import Context, copy_context
from dataclasses import dataclass

from crocusbay_standins.emulator.node import Node

# One way between two machines of a data centre.
LEAST_WAY_SECONDS = 0.0002
MOST_WAY_SECONDS = 0.001
OUTSIDE_IP = "127.0.0.1"
FIRST_FREE_PORT = 40_000
WRITE_BUFFER_BYTES = 64 * 1024

_END = None


class Network:
    """Hold what listens, and the links that are cut."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        current_node: Callable[[], Node | None],
    ) -> None:
        self.loop = loop
        self.loss = 0.0
        self._rng = random.Random(f"network {seed}")
        self._current_node = current_node
        self._listeners: dict[tuple[str, int], Listener] = {}
        self._datagrams: dict[tuple[str, int], DatagramTransport] = {}
        # In the order of their opening, so that a seed repeats.
        self._streams: dict[StreamTransport, None] = {}
        self._cut: set[frozenset[str]] = set()
        self._next_port = FIRST_FREE_PORT

    def way(self) -> float:
        """Return how long the next message takes (seconds)."""
        return self._rng.uniform(LEAST_WAY_SECONDS, MOST_WAY_SECONDS)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two machines."""
        return frozenset((one, other)) in self._cut

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two machines."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Let everything pass, streams that waited included."""
        self._cut.clear()
        for stream in list(self._streams):
            stream.pump()

    def kill(self, node: Node) -> None:
        """End a machine's streams and stop its listening, as its system does."""
        node.is_dead = True
        for stream in list(self._streams):
            if stream.node is node:
                stream.abort()
                self.drop(stream)
        for by_address in (self._listeners, self._datagrams):
            for address, each in list(by_address.items()):
                if each.node is node:
                    del by_address[address]

    def listen(self, factory: Callable, ip: str, port: int) -> "Listener":
        """Return a listener; port 0 stands for any that is free."""
        port = port or self._free_port()
        if (ip, port) in self._listeners:
            raise OSError(errno.EADDRINUSE, f"{ip}:{port} is in use")
        listener = Listener(self, factory, (ip, port), self._current_node())
        self._listeners[ip, port] = listener
        return listener

    def forget(self, listener: "Listener") -> None:
        """Stop listening; connections stay open."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    def bind(self, factory: Callable, ip: str, port: int):
        """Return a datagram transport and its protocol."""
        protocol = factory()
        transport = DatagramTransport(self, (ip, port), protocol, self._current_node())
        self._datagrams[ip, port] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def unbind(self, transport: "DatagramTransport") -> None:
        """Take away a datagram endpoint."""
        if self._datagrams.get(transport.address) is transport:
            del self._datagrams[transport.address]

    def send_datagram(
        self, data: bytes, source: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Deliver a datagram, unless it is lost or nobody is there."""
        if self.is_cut(source[0], target[0]) or self._rng.random() < self.loss:
            return

        def deliver() -> None:
            transport = self._datagrams.get(target)
            if transport is not None:
                transport.receive(data, source)

        # Outside all nodes: the receiver may be gone by then.
        self.loop.call_later(self.way(), deliver, context=Context())

    async def connect(self, factory: Callable, ip: str, port: int):
        """Return a connected transport and its protocol."""
        node = self._current_node()
        source = node.ip if node else OUTSIDE_IP
        while self.is_cut(source, ip):
            # As an opening packet that is sent again.
            await asyncio.sleep(1.0)
        await asyncio.sleep(self.way())
        listener = self._listeners.get((ip, port))
        if listener is None:
            await asyncio.sleep(self.way())
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"{ip}:{port} refused")
        near = StreamTransport(
            self, node, copy_context(), (source, self._free_port()), (ip, port)
        )
        far = StreamTransport(
            self, listener.node, listener.context, near.peer_address, near.own_address
        )
        near.other, far.other = far, near
        self._streams[near] = None
        self._streams[far] = None
        self.loop.call_soon(far.open, listener.factory, context=listener.context)
        try:
            await asyncio.sleep(self.way())
        except asyncio.CancelledError:
            near.abort()
            raise
        if near.is_closing():
            raise ConnectionResetError(errno.ECONNRESET, f"{ip}:{port} reset")
        protocol = near.open(factory)
        return near, protocol

    def drop(self, stream: "StreamTransport") -> None:
        """Forget a stream that has ended."""
        self._streams.pop(stream, None)

    def _free_port(self) -> int:
        self._next_port += 1
        return self._next_port


@dataclass(frozen=True, slots=True)
class _Socket:
    """Stand in for a listening socket."""

    address: tuple[str, int]

    def getsockname(self) -> tuple[str, int]:
        """Return the address."""
        return self.address


class Listener:
    """Stand in for asyncio's server."""

    def __init__(
        self,
        network: Network,
        factory: Callable,
        address: tuple[str, int],
        node: Node | None,
    ) -> None:
        self.factory = factory
        self.address = address
        self.node = node
        self.context = copy_context()
        self.sockets = (_Socket(address),)
        self._network = network

    def close(self) -> None:
        """Stop listening."""
        self._network.forget(self)

    async def wait_closed(self) -> None:
        """Return at once."""


class DatagramTransport(asyncio.DatagramTransport):
    """Send and receive datagrams."""

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
        """Send one datagram."""
        self._network.send_datagram(bytes(data), self.address, addr)

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Hand a datagram to the protocol, as code of its node."""
        self._network.loop.call_soon(
            self._protocol.datagram_received,
            data,
            source,
            context=self._context,
        )

    def close(self) -> None:
        """Stop receiving."""
        self._network.unbind(self)


class StreamTransport(asyncio.Transport):
    """One side of a stream; what it writes arrives at the other in order."""

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
        self.other: StreamTransport
        self._network = network
        self._context = context
        self._protocol: asyncio.Protocol | None = None
        # What is under way to the other side: bytes, or the end of the stream.
        self._sending: deque[bytes | None] = deque()
        self._arrived: deque[bytes | None] = deque()
        self._is_closing = False
        self._is_aborted = False
        self._is_lost = False
        self._is_reading = True

    def open(self, factory: Callable) -> asyncio.Protocol:
        """Make the protocol and tell it of the connection."""
        self._protocol = factory()
        self._protocol.connection_made(self)
        self._call(self._read_arrived)
        return self._protocol

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if data and not self._is_closing:
            self._sending.append(bytes(data))
            self._schedule()

    def writelines(self, list_of_data) -> None:
        """Send several pieces."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """End the sending side."""
        self._sending.append(_END)
        self._schedule()

    def can_write_eof(self) -> bool:
        """Return that the sending side can end alone."""
        return True

    def close(self) -> None:
        """End once everything written has been sent."""
        if not self._is_closing:
            self._is_closing = True
            self._sending.append(_END)
            self._schedule()
            self._call(self._lose, None)

    def abort(self) -> None:
        """End at once; the other side sees a reset."""
        if self._is_aborted:
            return
        self._is_closing = self._is_aborted = True
        self._sending.clear()
        self._call(self._lose, None)
        self._reset_other()

    def take_reset(self) -> None:
        """End because the other side did."""
        is_cut = self._network.is_cut(self.own_address[0], self.peer_address[0])
        if not self._is_lost and not is_cut:
            self._is_closing = self._is_aborted = True
            self._call(self._lose, ConnectionResetError(errno.ECONNRESET, "reset"))

    def is_closing(self) -> bool:
        """Return whether the stream is closing or closed."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Hand nothing to the protocol for now."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Hand on what has arrived."""
        self._is_reading = True
        self._call(self._read_arrived)

    def is_reading(self) -> bool:
        """Return whether bytes go to the protocol."""
        return self._is_reading

    def get_write_buffer_size(self) -> int:
        """Return the bytes under way."""
        return sum(len(piece) for piece in self._sending if piece)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return limits that are never reached."""
        return 0, WRITE_BUFFER_BYTES

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore limits: the network takes everything."""

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Hand further bytes to another protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol | None:
        """Return the protocol."""
        return self._protocol

    def pump(self) -> None:
        """Send on what waited behind a cut."""
        for _ in self._sending:
            self._schedule()

    def _schedule(self) -> None:
        # Outside all nodes: bytes under way arrive though their sender is paused.
        self._network.loop.call_later(
            self._network.way(), self._deliver, context=Context()
        )

    def _deliver(self) -> None:
        if not self._sending:
            return
        if self._network.is_cut(self.own_address[0], self.peer_address[0]):
            return
        piece = self._sending.popleft()
        self.other.arrive(piece)
        if self._is_closing and not self._sending:
            self._network.drop(self)

    def arrive(self, piece: bytes | None) -> None:
        """Take a piece off the network; what is closed answers with a reset."""
        if self._is_aborted or self._is_lost:
            if piece is not _END:
                self._reset_other()
            return
        self._arrived.append(piece)
        if self._protocol is not None:
            self._call(self._read_arrived)

    def _reset_other(self) -> None:
        self._network.loop.call_later(
            self._network.way(), self.other.take_reset, context=Context()
        )

    def _read_arrived(self) -> None:
        while self._arrived and self._is_reading and not self._is_lost:
            piece = self._arrived.popleft()
            if piece is not _END:
                if not self._is_closing:
                    self._protocol.data_received(piece)
            elif not self._protocol.eof_received():
                self.close()

    def _lose(self, error: Exception | None) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        if not self._sending:
            self._network.drop(self)
        if self._protocol is not None:
            self._protocol.connection_lost(error)

    def _call(self, callback: Callable, *args) -> None:
        """Run a callback as code of this side's node."""
        self._network.loop.call_soon(callback, *args, context=self._context)
