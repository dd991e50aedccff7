"""Simulated upstream server with request slots, service times, faults and an index."""

import random
from collections import Counter
from dataclasses import dataclass, replace

import anyio
import xxhash

from crocusbay.protocol.upstream import (
    STATUS_CANCELLED,
    STATUS_DEADLINE,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_REFUSED,
    STATUS_WRONG_SNAPSHOT,
    HeldSnapshots,
    Hit,
    Refusal,
    SearchAnswer,
)
from crocusbay.state import EventKind, IndexStatus, Service, Timeline, Upstream

MAX_HITS_PER_SHARD = 3
COLD_SERVICE_TIME_FACTOR = 5.0


@dataclass(frozen=True)
class SimulationConfig:
    """Configure the simulated servers of a process; shares are between 0 and 1."""

    service_ms: float = 2.0
    straggler_ms: float = 40.0
    straggler_share: float = 0.005
    queue_limit: int = 16
    one_way_ms: float = 4.5
    jitter_ms: float = 0.3
    loss_share: float = 0.0
    loss_delay_ms: float = 200.0
    cold_seconds: float = 0.0
    restart_seconds: float = 2.0


@dataclass(frozen=True)
class ServerFaults:
    """Describe the faults injected into one server.

    `cross_answers` counts responses with the id of another request, `late_ms` delays
    each response.
    """

    is_draining: bool = False
    is_shedding: bool = False
    crash_on: str = ""
    cross_answers: int = 0
    late_ms: float = 0.0
    stale_snapshot: bool = False


class SimulatedCrash(Exception):
    """Signal that a request makes the simulated server crash."""


@dataclass(frozen=True, slots=True)
class SimulatedRequest:
    """Represent one parsed request; `deadline_ms` is the remaining time."""

    request_id: str
    method: str
    path: str
    query_by_name: dict[str, str]
    body: bytes
    snapshot_version: int
    deadline_ms: float
    place: str


@dataclass(frozen=True, slots=True)
class SimulatedResponse:
    """Represent the server's response to one request."""

    status: int
    value: object = None


class SimulatedServer:
    """Simulate the request processing of one upstream server."""

    def __init__(
        self,
        upstream: Upstream,
        service: Service,
        config: SimulationConfig,
        timeline: Timeline,
    ) -> None:
        self.upstream = upstream
        self.service = service
        self.config = config
        self.faults = ServerFaults()
        self.index = IndexStatus()
        self.counts: Counter[str] = Counter()
        self.runs_by_order: Counter[str] = Counter()
        self.cold_until = 0.0
        self._timeline = timeline
        self._random = random.Random(upstream.name)
        self._slots = anyio.Semaphore(service.slots)
        self._queue_length = 0
        self._scopes_by_request: dict[str, anyio.CancelScope] = {}

    async def handle_request(self, request: SimulatedRequest) -> SimulatedResponse:
        """Return the response to a request; raise SimulatedCrash if it is fatal."""
        if request.path == "/health":
            return SimulatedResponse(STATUS_OK, {})
        await anyio.sleep(self._network_delay(request.place))
        if request.path.startswith("/cancel/"):
            return self._cancel_request(request.path.removeprefix("/cancel/"))
        self.counts["requests"] += 1
        if self.faults.is_draining:
            self.counts["refused_draining"] += 1
            return SimulatedResponse(STATUS_REFUSED, Refusal("draining"))
        if self.faults.is_shedding or self._queue_length >= self.config.queue_limit:
            self.counts["shed"] += 1
            return SimulatedResponse(STATUS_REFUSED, Refusal("shed", 20))
        return await self._handle_cancellable(request)

    async def _handle_cancellable(self, request: SimulatedRequest) -> SimulatedResponse:
        with anyio.CancelScope() as scope:
            if request.method != "POST":
                self._scopes_by_request[request.request_id] = scope
            try:
                return await self._process_in_slot(request)
            finally:
                self._scopes_by_request.pop(request.request_id, None)
        self.counts["cancelled"] += 1
        return SimulatedResponse(STATUS_CANCELLED)

    async def _process_in_slot(self, request: SimulatedRequest) -> SimulatedResponse:
        deadline = anyio.current_time() + request.deadline_ms / 1000
        self._queue_length += 1
        try:
            await self._slots.acquire()
        finally:
            self._queue_length -= 1
        try:
            if anyio.current_time() > deadline:
                self.counts["past_deadline"] += 1
                return SimulatedResponse(STATUS_DEADLINE)
            return await self._process(request)
        finally:
            self._slots.release()

    async def _process(self, request: SimulatedRequest) -> SimulatedResponse:
        crash_on = self.faults.crash_on
        if crash_on and crash_on in (
            f"{request.path} {request.query_by_name} {request.body!r}"
        ):
            raise SimulatedCrash
        match request.path.split("/")[1]:
            case "search":
                response = self._serve_search(request)
            case "documents":
                response = self._serve_document(request)
            case "orders" if request.method == "POST":
                response = self._serve_order(request)
            case _:
                return SimulatedResponse(STATUS_NOT_FOUND, {})
        await anyio.sleep(self._service_time())
        self.counts["ran"] += 1
        return response

    def _serve_search(self, request: SimulatedRequest) -> SimulatedResponse:
        version = request.snapshot_version
        snapshot = self.index.by_version.get(version)
        if snapshot is None:
            return SimulatedResponse(
                STATUS_WRONG_SNAPSHOT, HeldSnapshots(tuple(self._held_versions()))
            )
        if self.faults.stale_snapshot:
            version -= 1
        query = request.query_by_name.get("q", "")
        requested = request.query_by_name.get("shards", "").split(",")
        local = snapshot.by_service.get(self.service.name, ())
        shards = [shard for shard in local if shard.name in requested]
        hits = [hit for s in shards for hit in _make_hits(query, s.name, version)]
        documents = {shard.name: shard.documents for shard in shards}
        return SimulatedResponse(
            STATUS_OK, SearchAnswer(version, documents, tuple(hits))
        )

    def _held_versions(self) -> list[int]:
        return sorted(self.index.by_version)

    def _serve_document(self, request: SimulatedRequest) -> SimulatedResponse:
        document = request.path.removeprefix("/documents/")
        if document.startswith("absent"):
            return SimulatedResponse(STATUS_NOT_FOUND, {"document": document})
        return SimulatedResponse(
            STATUS_OK, {"document": document, "service": self.service.name}
        )

    def _serve_order(self, request: SimulatedRequest) -> SimulatedResponse:
        order = request.path.removeprefix("/orders/")
        self.runs_by_order[order] += 1
        self._timeline.record(
            EventKind.UPSTREAM_RAN,
            request=request.request_id,
            detail=f"order {order} at {self.upstream.name}",
        )
        return SimulatedResponse(STATUS_OK, {"order": order, "accepted": True})

    def _cancel_request(self, request_id: str) -> SimulatedResponse:
        scope = self._scopes_by_request.get(request_id)
        if scope is None:
            return SimulatedResponse(STATUS_NOT_FOUND, {})
        scope.cancel()
        return SimulatedResponse(STATUS_OK, {})

    def _service_time(self) -> float:
        config = self.config
        mean_ms = config.service_ms
        if anyio.current_time() < self.cold_until:
            mean_ms *= COLD_SERVICE_TIME_FACTOR
        duration_ms = self._random.gammavariate(4.0, mean_ms / 4.0)
        if self._random.random() < config.straggler_share:
            duration_ms += self._random.uniform(0.5, 1.5) * config.straggler_ms
        return (duration_ms + self.faults.late_ms) / 1000

    def _network_delay(self, place: str) -> float:
        """Return the round-trip time from the caller's place in seconds."""
        config = self.config
        if not place or place == self.upstream.place:
            return 0.0
        delay_ms = (
            2 * config.one_way_ms + self._random.expovariate(1.0) * config.jitter_ms
        )
        if self._random.random() < config.loss_share:
            delay_ms += config.loss_delay_ms
        return delay_ms / 1000

    def consume_mismatch_fault(self) -> bool:
        """Return whether to send another request's id, and use up one such fault."""
        if self.faults.cross_answers <= 0:
            return False
        remaining = self.faults.cross_answers - 1
        self.faults = replace(self.faults, cross_answers=remaining)
        return True


def _make_hits(query: str, shard: str, version: int) -> list[Hit]:
    """Return hits determined only by the query, the shard and the snapshot version."""
    seed = xxhash.xxh3_64_intdigest(f"{query}/{shard}/{version}".encode())
    count = seed % (MAX_HITS_PER_SHARD + 1)
    return [
        Hit(
            f"{shard}-{number}",
            ((seed >> (8 * number)) % 1000) / 1000,
            f"{query} at snapshot {version}",
        )
        for number in range(count)
    ]
