"""Stand-in for a server of a service."""

import asyncio
import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from standins.http import encode_message, read_message
from standins.store import Store

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a server began to work on."""

    at: float
    attempt_id: str
    service: str
    server: str
    method: str
    target: str


class Server:
    """Register in the store, and answer requests after some work."""

    # Parts by their signatures, of all servers.
    records_by_stamp: dict[str, list[bytes]] = {}
    runs: list[Run] = []

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        *,
        work_s: Callable[[str], float],
        slots: int = 2,
        queue: int = 24,
        shed_share: float = 0.0,
        record_count: int = 0,
        extra_share: float = 0.0,
        extra_after_s: tuple[float, float] = (0.0, 0.0),
        seed: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ""
        self.work_s = work_s
        self.slots = slots
        self.is_draining = False
        self.extra_share = extra_share
        self.extra_after_s = extra_after_s
        self.shed_share = shed_share
        self.rejected_count = 0
        self.extra_count = 0
        self._queue = queue
        self._in_progress = 0
        self._store = store
        self._record_count = record_count
        self._random = random.Random(f"{seed} {name}")
        self._count = 0
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self.register()

    def register(self) -> None:
        """Write the entry."""
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if self.is_draining else "ready",
                "cold-left-ms": 0,
                "seq": 1,
                "born": 1_700_000_000_000,
            },
        )

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                await self._handle(first, headers, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, first: str, headers: dict[str, str], writer) -> None:
        method, target, _ = first.split(" ")
        attempt_id = headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt_id}
        if headers.get("expect-instance", self.name) != self.name:
            refusal = {**echo, "Not-Run": "1", "Instance-Id": self.name}
            self._answer(
                writer, encode_message("HTTP/1.1 421 Misdirected Request", refusal)
            )
            return
        is_full = self._in_progress >= self.slots + self._queue
        if is_full or self._random.random() < self.shed_share:
            self.rejected_count += 1
            refusal = {**echo, "Not-Run": "1"}
            self._answer(
                writer, encode_message("HTTP/1.1 503 Service Unavailable", refusal)
            )
            return
        self._in_progress += 1
        try:
            async with self._slots:
                now = asyncio.get_running_loop().time()
                run = Run(now, attempt_id, self.service, self.name, method, target)
                self.runs.append(run)
                await asyncio.sleep(self.work_s(target))
        finally:
            self._in_progress -= 1
        self._count += 1
        stamp = f"{self.service}.{self.name}.{self._count}.{attempt_id}"
        records = [
            hashlib.md5(f"{stamp} {number}".encode()).digest()
            for number in range(self._record_count)
        ]
        self.records_by_stamp[stamp] = records
        self._random.shuffle(records)
        body = b"".join(records) or stamp.encode()
        self._answer(
            writer,
            encode_message("HTTP/1.1 200 OK", {**echo, "Server-Stamp": stamp}, body),
        )

    def _answer(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send an answer, and some answers once more, late."""
        writer.write(data)
        if self._random.random() < self.extra_share:
            self.extra_count += 1
            asyncio.get_running_loop().call_later(
                self._random.uniform(*self.extra_after_s),
                self._send_extra,
                writer,
                data,
            )

    @staticmethod
    def _send_extra(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)
