"""Callers of a soak: they resolve host addresses, send requests and record results."""

import asyncio
import random
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from crocusbay.state import split_address
from crocusbay_platform.names import HTTP_CONVENTIONS, RESOLUTION_PATH
from crocusbay_platform.resolution import Resolution
from crocusbay_standins.soak.hosts import SoakHost
from crocusbay_standins.soak.store import read_message

RESOLUTION_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
DEADLINE_SECONDS = 2.0
MEAN_PAUSE_SECONDS = 0.05
RESOLUTION_INTERVAL_SECONDS = 1.0


class RequestKind(StrEnum):
    """Kind of a request; each has a path of its own."""

    GATHER = "gather"
    FETCH = "fetch"
    ORDER = "order"
    PROBE = "probe"
    # Its target is the same in every copy, and each server that runs it crashes.
    CRASHING = "crashing"
    CRASHING_ORDER = "crashing-order"

    @property
    def is_order(self) -> bool:
        """Return whether a request may run only once."""
        return self in (RequestKind.ORDER, RequestKind.CRASHING_ORDER)

    @property
    def is_crashing(self) -> bool:
        """Return whether each server that runs a request crashes."""
        return self in (RequestKind.CRASHING, RequestKind.CRASHING_ORDER)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a request; status 0: connection closed, -1: timed out."""

    attempt_id: str
    kind: RequestKind
    host: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    path: str


class Caller:
    """Client that sends requests sequentially over persistent connections."""

    def __init__(
        self,
        name: str,
        hosts: list[SoakHost],
        outcomes: list[Outcome],
        rng: random.Random,
        paths: dict[RequestKind, str],
    ) -> None:
        self._name = name
        self._host_by_address = {h.settings.caller_address: h for h in hosts}
        self._hosts = hosts
        self._outcomes = outcomes
        self._rng = rng
        self._paths = paths
        self._count = 0
        self._addresses: tuple[str, ...] = ()
        self._resolved_at = float("-inf")
        self._stream_by_address: dict[str, tuple] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        kinds = [
            RequestKind.GATHER,
            RequestKind.GATHER,
            RequestKind.FETCH,
            RequestKind.ORDER,
        ]
        try:
            while True:
                await self._refresh_addresses()
                if self._addresses:
                    address = self._rng.choice(self._addresses)
                    await self.send_request(address, self._rng.choice(kinds))
                await asyncio.sleep(MEAN_PAUSE_SECONDS * self._rng.uniform(0.5, 1.5))
        finally:
            self.close()

    def close(self) -> None:
        """Close all connections, and so leave a request in progress."""
        for _, writer in self._stream_by_address.values():
            writer.close()
        self._stream_by_address.clear()

    async def send_request(
        self, address: str, kind: RequestKind, target: str = ""
    ) -> Outcome | None:
        """Send one request; return its result, or None if connecting failed.

        By default the target is the path of the kind and the attempt id.
        """
        loop = asyncio.get_running_loop()
        stream = await self._connect(address)
        if stream is None:
            return None
        self._count += 1
        attempt_id = f"{self._name}-{self._count}"
        target = target or f"{self._paths[kind]}{attempt_id}"
        sent_at = loop.time()
        status, headers, body = 0, {}, b""
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                stream[1].write(self._encode(kind, target, attempt_id))
                _, code, headers, body = await read_message(stream[0])
                status = int(code)
        except TimeoutError:
            status = -1
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            status = 0
        if status <= 0 or headers.get(b"connection") == b"close":
            self._stream_by_address.pop(address, None)
            stream[1].close()
        outcome = Outcome(
            attempt_id,
            kind,
            self._host_by_address[address].name,
            sent_at,
            loop.time(),
            status,
            headers,
            body,
            target,
        )
        self._outcomes.append(outcome)
        return outcome

    def _encode(self, kind: RequestKind, target: str, attempt_id: str) -> bytes:
        method = "POST" if kind.is_order else "GET"
        head = (
            f"{method} {target} HTTP/1.1\r\n"
            "Host: soak.example\r\n"
            f"{HTTP_CONVENTIONS.attempt_id.decode()}: {attempt_id}\r\n"
            f"{HTTP_CONVENTIONS.deadline_ms.decode()}: "
            f"{int(DEADLINE_SECONDS * 1000)}\r\n"
        )
        if method == "POST":
            head += "Content-Length: 2\r\n\r\nhi"
        else:
            head += "\r\n"
        return head.encode()

    async def _refresh_addresses(self) -> None:
        """Resolve host addresses anew; keep the previous ones if no host responds."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._resolved_at + RESOLUTION_INTERVAL_SECONDS:
            return
        for host in self._rng.sample(self._hosts, min(3, len(self._hosts))):
            addresses = await self.resolve(host)
            if addresses:
                self._addresses = addresses
                self._resolved_at = loop.time()
                for address in set(self._stream_by_address) - set(addresses):
                    self._stream_by_address.pop(address)[1].close()
                return

    async def resolve(self, host: SoakHost) -> tuple[str, ...]:
        """Return the addresses that a host gives to callers; empty if it fails."""
        resolution = await self.look_up(host)
        return () if resolution is None else resolution.addresses

    async def look_up(self, host: SoakHost) -> Resolution | None:
        """Return a host's answer to a caller that asks for hosts; None if it fails."""
        try:
            async with asyncio.timeout(RESOLUTION_TIMEOUT_SECONDS):
                ip, port = split_address(host.settings.entry_address)
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(
                    f"GET {RESOLUTION_PATH}?zone={host.settings.data_centre} "
                    "HTTP/1.1\r\n"
                    f"Host: x\r\nConnection: close\r\n\r\n".encode()
                )
                _, status, _, body = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        if status != "200":
            return None
        return msgspec.json.decode(body, type=Resolution)

    async def _connect(self, address: str):
        stream = self._stream_by_address.get(address)
        if stream is not None and not stream[0].at_eof():
            return stream
        ip, port = split_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                stream = await asyncio.open_connection(ip, port)
        except (OSError, TimeoutError):
            return None
        self._stream_by_address[address] = stream
        return stream
