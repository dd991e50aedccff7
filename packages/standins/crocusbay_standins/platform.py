"""Simulated platform: versioned objects, watches, a host list and fault injection."""

import json
import sys
import time
from collections import Counter, deque
from dataclasses import dataclass, replace
from enum import StrEnum

import anyio
import click
import msgspec

from crocusbay.protocol import from_json
from crocusbay.protocol.platform import (
    Conflicted,
    HostList,
    ObjectList,
    StoredObject,
    Written,
)
from crocusbay.state import EventKind, HybridClock, Timeline
from crocusbay.transport import open_listener, serve
from crocusbay.transport.platform import VERSION_HEADER
from crocusbay_standins.http_app import HttpRequest, HttpResponse, make_app

RATE_BURST_SECONDS = 1.0
HANG_SECONDS = 3600.0


class Outage(StrEnum):
    """List the ways in which the platform can be unavailable."""

    NONE = ""
    REFUSE = "refuse"
    HANG = "hang"


@dataclass(frozen=True)
class PlatformFaults:
    """Describe the faults injected; `lose_answers` counts writes without an answer."""

    outage: Outage = Outage.NONE
    slow_ms: float = 0.0
    lose_answers: int = 0
    host_list_lag_ms: float = 0.0
    writes_per_second: float = 500.0
    reads_per_second: float = 2000.0


class RateLimiter:
    """Limit the rate of calls with a token bucket."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at = 0.0

    def try_acquire(self, per_second: float) -> bool:
        """Return whether another request is within the rate, and take a token if so."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * per_second
        self._tokens = min(RATE_BURST_SECONDS * per_second, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SimulatedPlatform:
    """Store objects in memory and serve the object API."""

    def __init__(self, clock: HybridClock) -> None:
        self.object_by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()
        self.timeline = Timeline("platform", clock)
        self._changed = anyio.Event()
        self._write_limiter = RateLimiter()
        self._read_limiter = RateLimiter()
        self._published_host_lists: deque[tuple[float, HostList]] = deque(
            [(0.0, HostList())]
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request of the object or control API."""
        if request.path.startswith("/control/"):
            return self._handle_control(request)
        if request.path == "/timeline":
            return HttpResponse(
                200, self.timeline.events(request.query_value("request"))
            )
        kind = f"{request.method} /{request.path.split('/')[1]}"
        self.calls[kind] += 1
        if self.faults.outage is Outage.HANG:
            await anyio.sleep(HANG_SECONDS)
        if self.faults.outage is Outage.REFUSE:
            return HttpResponse(503)
        await anyio.sleep(self.faults.slow_ms / 1000)
        is_write = request.method == "PUT"
        limiter = self._write_limiter if is_write else self._read_limiter
        limit = (
            self.faults.writes_per_second if is_write else self.faults.reads_per_second
        )
        if not limiter.try_acquire(limit):
            return HttpResponse(429)
        return await self._handle_object_request(request)

    async def _handle_object_request(self, request: HttpRequest) -> HttpResponse:
        match request.method, request.path:
            case "GET", "/hosts":
                return HttpResponse(200, self._delayed_host_list())
            case "GET", "/objects":
                return HttpResponse(200, self._list_objects(request))
            case "GET", "/watch":
                return HttpResponse(200, await self._watch_objects(request))
            case "GET", path if path.startswith("/objects/"):
                stored = self.object_by_key.get(path.removeprefix("/objects/"))
                return HttpResponse(200, stored) if stored else HttpResponse(404)
            case "PUT", path if path.startswith("/objects/"):
                return self._write_object(path.removeprefix("/objects/"), request)
        return HttpResponse(404)

    def _list_objects(self, request: HttpRequest) -> ObjectList:
        prefixes = tuple(request.query.get("prefix", [""]))
        after = int(request.query_value("after", "0"))
        matching = [o for k, o in self.object_by_key.items() if k.startswith(prefixes)]
        newer = tuple(each for each in matching if each.version > after)
        return ObjectList(max((o.version for o in matching), default=0), newer)

    async def _watch_objects(self, request: HttpRequest) -> ObjectList:
        with anyio.move_on_after(int(request.query_value("wait_ms", "0")) / 1000):
            while not (changes := self._list_objects(request)).objects:
                await self._changed.wait()
            return changes
        return self._list_objects(request)

    def _write_object(self, key: str, request: HttpRequest) -> HttpResponse:
        current = self.object_by_key.get(key)
        expected = int(request.header_by_name.get(VERSION_HEADER, "0"))
        if expected != (current.version if current else 0):
            return HttpResponse(409, Conflicted(current))
        self.revision += 1
        self.object_by_key[key] = StoredObject(
            key, self.revision, msgspec.Raw(request.body)
        )
        self.timeline.record(
            EventKind.OBJECT_WRITTEN, detail=f"{key} version {self.revision}"
        )
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        if self.faults.lose_answers > 0:
            remaining = self.faults.lose_answers - 1
            self.faults = replace(self.faults, lose_answers=remaining)
            return HttpResponse(504)
        return HttpResponse(200, Written(self.revision))

    def _delayed_host_list(self) -> HostList:
        visible_until = time.monotonic() - self.faults.host_list_lag_ms / 1000
        lists = [
            hosts
            for since, hosts in self._published_host_lists
            if since <= visible_until
        ]
        return lists[-1] if lists else HostList()

    def _handle_control(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case "/control/faults":
                decoded = from_json(request.body, PlatformFaults)
                if decoded.is_error():
                    return HttpResponse(400, decoded.error)
                self.faults = decoded.ok
                self.timeline.record(EventKind.FAULT_SET, detail=request.body.decode())
                return HttpResponse(200)
            case "/control/hosts":
                decoded = from_json(request.body, HostList)
                if decoded.is_error():
                    return HttpResponse(400, decoded.error)
                self._published_host_lists.append((time.monotonic(), decoded.ok))
                return HttpResponse(200)
            case "/control/calls":
                return HttpResponse(200, dict(self.calls))
        return HttpResponse(404)


async def _run(address: str) -> None:
    clock = HybridClock()
    platform = SimulatedPlatform(clock)
    listener, bound = open_listener(address)
    click.echo(json.dumps({"address": bound}))
    sys.stdout.flush()
    await serve(make_app(platform.handle, clock), listener, anyio.sleep_forever, 0.0)


@click.command()
@click.option("--address", default="127.0.0.1:0", help="ip:port to listen on.")
def main(address: str) -> None:
    """Run the simulated platform until the process is killed."""
    anyio.run(_run, address, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
