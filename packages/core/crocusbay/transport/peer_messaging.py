"""Messages between hosts over pynng: one receiver task, one sender task per peer."""

import errno
import os
from collections import deque
from collections.abc import Callable

import anyio
import pynng

from crocusbay.protocol.codec import to_msgpack
from crocusbay.protocol.peer import (
    MAX_PEER_MESSAGE_BYTES,
    PeerMessage,
    decode_peer_message,
)

MAX_QUEUED_MESSAGES = 64
SEND_TIMEOUT_MS = 1_000
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000


class PeerListener:
    """Receive the messages of all peers on one socket.

    Raises OSError with EADDRINUSE if the address is in use.
    """

    def __init__(
        self,
        address: str,
        on_message: Callable[[PeerMessage], None],
        on_malformed: Callable[[str], None],
        on_error: Callable[[str, Exception], None],
    ) -> None:
        self._on_message = on_message
        self._on_error = on_error
        self._on_malformed = on_malformed
        self._socket = pynng.Pull0(recv_max_size=MAX_PEER_MESSAGE_BYTES)
        try:
            listener = self._socket.listen(f"tcp://{address}")
        except pynng.AddressInUse as error:
            self._socket.close()
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE)) from error
        self.address = str(listener.local_address)

    async def run(self) -> None:
        """Receive until the socket is closed.

        pynng raises an unrelated error when the scope is cancelled, so the wait is
        shielded and only `close` ends it.
        """
        with anyio.CancelScope(shield=True):
            while True:
                try:
                    data = await self._socket.arecv()
                except pynng.Closed:
                    return
                self._dispatch(data)

    def close(self) -> None:
        """Close the socket, which ends `run`."""
        self._socket.close()

    def _dispatch(self, data: bytes) -> None:
        decoded = decode_peer_message(data)
        if decoded.is_error():
            self._on_malformed(decoded.error)
            return
        try:
            self._on_message(decoded.ok)
        except Exception as error:
            self._on_error("peer message", error)


class PeerSender:
    """Send messages to one peer; the oldest is dropped when the queue is full."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_closed = False
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._wake = anyio.Event()
        self._socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.dial(f"tcp://{address}", block=False)

    def send(self, message: PeerMessage) -> int:
        """Queue a message without blocking; return its size in bytes."""
        data = to_msgpack(message)
        self._queue.append(data)
        self._wake.set()
        return len(data)

    async def run(self) -> None:
        """Send queued messages until closed."""
        while not self.is_closed:
            await self._wake.wait()
            self._wake = anyio.Event()
            with anyio.CancelScope(shield=True):
                await self._send_queued()

    def close(self) -> None:
        """Close the socket, which ends `run`."""
        self.is_closed = True
        self._wake.set()
        self._socket.close()

    async def _send_queued(self) -> None:
        while self._queue and not self.is_closed:
            data = self._queue.popleft()
            try:
                await self._socket.asend(data)
            except pynng.Timeout:
                continue
            except (pynng.Closed, pynng.ConnectionRefused):
                return
