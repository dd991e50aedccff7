"""Stand-ins for upstream servers, all in this process, each behind a proxy."""

import asyncio
import hashlib
import random
from dataclasses import dataclass, field

from crocusbay_gateway.protocol import encode_reply
from crocusbay_gateway.state import Reply, ServerEntry
from crocusbay_platform.names import DIALECT
from crocusbay_standins.soak.listening import listen
from crocusbay_standins.soak.proxy import Proxy
from crocusbay_standins.soak.store import StandInStore, read_message

SLOTS = 2
QUEUE = 12
RECORDS = 8
HEARTBEAT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """Note one request that reached a server."""

    at: float
    attempt: str
    service: str
    server: str
    has_run: bool


@dataclass
class Behaviour:
    """Say how a server treats requests: time of work, and shares that go wrong."""

    work_seconds: float = 0.01
    lost_share: float = 0.0
    cut_share: float = 0.0
    extra_share: float = 0.0
    refused_share: float = 0.0
    failed_share: float = 0.0
    garbled_share: float = 0.0
    silent_share: float = 0.0


def records_of(service: str, attempt: str) -> list[bytes]:
    """Return the records that a shard holds for an attempt."""
    return [
        hashlib.md5(f"{service} {attempt} {number}".encode()).digest()
        for number in range(RECORDS)
    ]


def signature_of(server: str, attempt: str) -> bytes:
    """Return the signature of a server's answer."""
    return f"{server}.{attempt}".encode()


@dataclass
class StandInServer:
    """Run requests, register in the store, drain, crash and start again."""

    name: str
    service: str
    place: str
    store: StandInStore
    arrivals: list[Arrival]
    rng: random.Random
    behaviour: Behaviour = field(default_factory=Behaviour)
    is_draining: bool = False
    drained_at: float = float("inf")
    is_up: bool = False
    # Over all its starts.
    most_connections: int = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on one that the system chooses, and register."""
        self._queued = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._may_run = asyncio.Event()
        self._may_run.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server, address = await listen(self._serve)
        self.proxy = Proxy(address)
        await self.proxy.start(port)
        self.is_up = True
        self.is_draining = False
        self.drained_at = float("inf")
        self._seq = 0
        self._started_at = int(asyncio.get_running_loop().time() * 1000)
        self._beats = asyncio.ensure_future(self._beat())

    def crash(self) -> None:
        """End at once; the entry stays until `forget`."""
        self.is_up = False
        self.most_connections = max(self.most_connections, self.proxy.most_connections)
        self._beats.cancel()
        self._server.close()
        self.proxy.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def pause(self, seconds: float) -> None:
        """Answer nothing for a while, as in a long collection of garbage."""
        self._may_run.clear()
        await asyncio.sleep(seconds)
        self._may_run.set()

    def forget(self) -> None:
        """Remove the entry, as when it lapses."""
        self.store.remove_server(self.name)

    def drain(self) -> None:
        """Report that the server is leaving."""
        self.is_draining = True
        self._write_entry()
        self.drained_at = asyncio.get_running_loop().time()

    async def _beat(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _write_entry(self) -> None:
        self._seq += 1
        entry = ServerEntry(
            self.name,
            0,
            self.service,
            self.proxy.address,
            self.place,
            SLOTS,
            self.is_draining,
            started_at=self._started_at,
        )
        self.store.put_server(entry, self._seq)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                _, _, headers, _ = await read_message(reader)
                if not await self._answer(headers, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, headers: dict[bytes, bytes], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        attempt = headers[DIALECT.attempt.lower()].decode()
        refusal = self._refusal(headers)
        if refusal is not None:
            self._note(attempt, has_run=False)
            writer.write(encode_reply(refusal))
            return True
        self._note(attempt, has_run=True)
        self._queued += 1
        try:
            async with self._slots:
                await asyncio.sleep(
                    self.behaviour.work_seconds * self.rng.uniform(0.5, 1.5)
                )
                await self._may_run.wait()
        finally:
            self._queued -= 1
        return self._write_answer(attempt, writer)

    def _refusal(self, headers: dict[bytes, bytes]) -> Reply | None:
        not_run = ((DIALECT.not_run, b"1"),)
        if headers[DIALECT.expected_server.lower()] != self.name.encode():
            return Reply(DIALECT.wrong_server_status, not_run)
        is_full = self._queued >= SLOTS + QUEUE
        if is_full or self.rng.random() < self.behaviour.refused_share:
            return Reply(503, not_run)
        return None

    def _write_answer(self, attempt: str, writer: asyncio.StreamWriter) -> bool:
        behaviour = self.behaviour
        if self.rng.random() < behaviour.lost_share:
            writer.transport.abort()
            return False
        if self.rng.random() < behaviour.silent_share:
            return True
        status = 500 if self.rng.random() < behaviour.failed_share else 200
        records = records_of(self.service, attempt)
        self.rng.shuffle(records)
        headers = (
            (DIALECT.attempt, attempt.encode()),
            (DIALECT.signature, signature_of(self.name, attempt)),
        )
        data = encode_reply(Reply(status, headers, b"".join(records)))
        if self.rng.random() < behaviour.garbled_share:
            writer.write(self.rng.randbytes(len(data)))
            return False
        if self.rng.random() < behaviour.cut_share:
            writer.write(data[: len(data) // 2])
            return False
        writer.write(data)
        if self.rng.random() < behaviour.extra_share:
            writer.write(data)
        return True

    def _note(self, attempt: str, *, has_run: bool) -> None:
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(now, attempt, self.service, self.name, has_run))
