"""Stand-ins for upstream servers, in this process, each behind a proxy."""

import asyncio
import hashlib
import random
from dataclasses import dataclass, field, replace
from enum import StrEnum

from crocusbay_gateway.protocol import encode_reply
from crocusbay_gateway.state import Reply, ServerEntry
from crocusbay_gateway.state.request import Headers
from crocusbay_platform.names import HTTP_CONVENTIONS
from crocusbay_standins.soak.proxy import LinkFault, Proxy
from crocusbay_standins.soak.store import StandInStore, read_message
from crocusbay_standins.soak.tcp_server import listen

CONCURRENCY_LIMIT = 2
QUEUE_LIMIT = 12
RECORDS_PER_SHARD = 8
HEARTBEAT_INTERVAL_SECONDS = 0.5
# Not that of the store and the callers, so that a link to all servers can fail alone.
SERVERS_IP = "127.0.0.2"
# A request whose target contains this crashes each server that begins to run it.
CRASH_MARK = "crash"
RESTART_SECONDS = 2.0


class CrashMode(StrEnum):
    """What becomes of the connections of a server that a request crashes."""

    # Reset; nothing listens any more.
    RESET = "reset"
    # Silent until the server restarts.
    SILENT = "silent"
    # Reset; the address accepts connections until the server restarts.
    ACCEPTING = "accepting"


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Request that reached a server at a time of the loop (seconds)."""

    received_at: float
    attempt_id: str
    service: str
    server: str
    has_run: bool


@dataclass(frozen=True, slots=True)
class DrainPeriod:
    """Period in which a server was leaving: from its announcement to its restart."""

    server: str
    start: float
    end: float = float("inf")


@dataclass
class ServerBehaviour:
    """Mean processing time of a server, and the ratio of requests per failure mode."""

    mean_processing_seconds: float = 0.01
    lost_share: float = 0.0
    cut_share: float = 0.0
    extra_share: float = 0.0
    refused_share: float = 0.0
    failed_share: float = 0.0
    garbled_share: float = 0.0
    silent_share: float = 0.0
    # Requests per second from all hosts together, as stated in the responses.
    stated_limit: float | None = None
    # Time for which a host that is rejected shall send nothing (seconds).
    rest_seconds: float | None = None
    states_leaving: bool = False


def make_records(service: str, attempt_id: str) -> list[bytes]:
    """Return the records that a shard sends in response to an attempt."""
    return [
        hashlib.md5(f"{service} {attempt_id} {number}".encode()).digest()
        for number in range(RECORDS_PER_SHARD)
    ]


def make_signature(server: str, attempt_id: str) -> bytes:
    """Return the signature header that a server sends in response to an attempt."""
    return f"{server}.{attempt_id}".encode()


@dataclass
class StandInServer:
    """Upstream server that registers in the store and can drain, crash and restart."""

    name: str
    service: str
    data_centre: str
    store: StandInStore
    received_requests: list[ReceivedRequest]
    rng: random.Random
    behaviour: ServerBehaviour = field(default_factory=ServerBehaviour)
    is_draining: bool = False
    is_up: bool = False
    # Maximum over all starts so far; updated by `crash`.
    peak_connections: int = 0
    # Whether a server that a request has crashed restarts under a new name.
    is_renamed_on_restart: bool = False
    crash_mode: CrashMode = CrashMode.RESET
    # Time after which the entry of a server that restarts under a new name is removed.
    entry_lease_seconds: float = 0.0
    drain_periods: list[DrainPeriod] = field(default_factory=list)

    async def start(self, port: int = 0) -> None:
        """Listen on a port and register; port 0 lets the system choose one."""
        self._pending_requests = 0
        self._semaphore = asyncio.Semaphore(CONCURRENCY_LIMIT)
        self._not_paused = asyncio.Event()
        self._not_paused.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server, address = await listen(self._serve)
        self.proxy = Proxy(address, SERVERS_IP)
        await self.proxy.start(port)
        self.is_up = True
        if self.is_draining:
            now = asyncio.get_running_loop().time()
            self.drain_periods[-1] = replace(self.drain_periods[-1], end=now)
        self.is_draining = False
        self._seq = 0
        self._started_at = int(asyncio.get_running_loop().time() * 1000)
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    def crash(self) -> None:
        """Stop abruptly; the entry in the store stays until `deregister`."""
        self.is_up = False
        self.peak_connections = max(self.peak_connections, self.proxy.peak_connections)
        self._heartbeat_task.cancel()
        self._server.close()
        self.proxy.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def pause(self, seconds: float) -> None:
        """Delay all responses for a time (seconds), as in a long garbage collection."""
        self._not_paused.clear()
        await asyncio.sleep(seconds)
        self._not_paused.set()

    def deregister(self) -> None:
        """Remove the entry from the store, as when it expires."""
        self.store.remove_server(self.name)

    def drain(self) -> None:
        """Announce in the store that the server is leaving."""
        self.is_draining = True
        self._write_entry()
        now = asyncio.get_running_loop().time()
        self.drain_periods.append(DrainPeriod(self.name, now))

    async def _send_heartbeats(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _write_entry(self) -> None:
        self._seq += 1
        entry = ServerEntry(
            self.name,
            0,
            self.service,
            self.proxy.address,
            self.data_centre,
            CONCURRENCY_LIMIT,
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
                _, target, headers, _ = await read_message(reader)
                if not await self._handle_request(target, headers, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(
        self, target: str, headers: dict[bytes, bytes], writer: asyncio.StreamWriter
    ) -> bool:
        """Respond to a request; return whether to keep the connection open."""
        attempt_id = headers[HTTP_CONVENTIONS.attempt_id.lower()].decode()
        refusal = self._make_refusal(headers)
        if refusal is not None:
            self._record_request(attempt_id, has_run=False)
            writer.write(encode_reply(refusal))
            return True
        self._record_request(attempt_id, has_run=True)
        self._pending_requests += 1
        try:
            async with self._semaphore:
                await asyncio.sleep(
                    self.behaviour.mean_processing_seconds * self.rng.uniform(0.5, 1.5)
                )
                await self._not_paused.wait()
        finally:
            self._pending_requests -= 1
        if self._is_crashed_by(target):
            if self.is_up:
                self.end_by_itself()
            return self.crash_mode is CrashMode.SILENT
        return self._write_response(attempt_id, writer)

    def _is_crashed_by(self, target: str) -> bool:
        """Return whether a target crashes this server: "crash", or "crash@SERVICE"."""
        _, mark, rest = target.partition(CRASH_MARK)
        return bool(mark) and rest.partition("@")[2] in ("", self.service)

    def end_by_itself(self) -> None:
        """End as a request that crashes the server makes it, and start again later."""
        self._end()
        self._restart_task = asyncio.ensure_future(self._restart())

    def _end(self) -> None:
        match self.crash_mode:
            case CrashMode.RESET:
                self.crash()
            case CrashMode.SILENT:
                self.is_up = False
                self._heartbeat_task.cancel()
                self.proxy.set_fault(LinkFault.BLACKHOLE)
            case CrashMode.ACCEPTING:
                self.is_up = False
                self._heartbeat_task.cancel()
                self.proxy.set_fault(LinkFault.RESET)
                self.proxy.set_fault(LinkFault.BLACKHOLE)

    async def _restart(self) -> None:
        """Start again after a crash, under a new name once the entry is removed."""
        if self.is_renamed_on_restart:
            await asyncio.sleep(self.entry_lease_seconds)
            self.deregister()
        await asyncio.sleep(RESTART_SECONDS)
        if self.crash_mode is not CrashMode.RESET:
            self.crash()
        if self.is_renamed_on_restart:
            name, _, count = self.name.partition("-")
            self.name = f"{name}-{int(count or 0) + 1}"
        await self.start()

    def _make_refusal(self, headers: dict[bytes, bytes]) -> Reply | None:
        not_run = ((HTTP_CONVENTIONS.not_run, b"1"), *self._statement_headers())
        if headers[HTTP_CONVENTIONS.expected_server.lower()] != self.name.encode():
            return Reply(HTTP_CONVENTIONS.wrong_server_status, not_run)
        is_full = self._pending_requests >= CONCURRENCY_LIMIT + QUEUE_LIMIT
        if is_full or self.rng.random() < self.behaviour.refused_share:
            return Reply(503, not_run, retry_after=self.behaviour.rest_seconds)
        return None

    def _write_response(self, attempt_id: str, writer: asyncio.StreamWriter) -> bool:
        behaviour = self.behaviour
        if self.rng.random() < behaviour.lost_share:
            writer.transport.abort()
            return False
        if self.rng.random() < behaviour.silent_share:
            return True
        status = 500 if self.rng.random() < behaviour.failed_share else 200
        records = make_records(self.service, attempt_id)
        self.rng.shuffle(records)
        headers = (
            (HTTP_CONVENTIONS.attempt_id, attempt_id.encode()),
            (HTTP_CONVENTIONS.signature, make_signature(self.name, attempt_id)),
            *self._statement_headers(),
        )
        data = encode_reply(Reply(status, headers, b"".join(records)))
        if self.rng.random() < behaviour.garbled_share:
            _write(writer, self.rng.randbytes(len(data)))
            return False
        if self.rng.random() < behaviour.cut_share:
            _write(writer, data[: len(data) // 2])
            return False
        _write(writer, data)
        if self.rng.random() < behaviour.extra_share:
            _write(writer, data)
        return True

    def _statement_headers(self) -> Headers:
        headers = []
        if self.behaviour.stated_limit is not None:
            limit = str(self.behaviour.stated_limit).encode()
            headers.append((HTTP_CONVENTIONS.stated_limit, limit))
        if self.behaviour.states_leaving:
            headers.append((HTTP_CONVENTIONS.leaving, b"1"))
        return tuple(headers)

    def _record_request(self, attempt_id: str, *, has_run: bool) -> None:
        now = asyncio.get_running_loop().time()
        self.received_requests.append(
            ReceivedRequest(now, attempt_id, self.service, self.name, has_run)
        )


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write unless the connection has closed; uvloop raises RuntimeError then."""
    if not writer.is_closing():
        writer.write(data)
