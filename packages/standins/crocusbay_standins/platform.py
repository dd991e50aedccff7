"""Stand-in for the platform: objects with versions, watches, hosts and faults."""

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
from crocusbay_standins.control import Answer, Call, make_app

RATE_BURST_SECONDS = 1.0
HANG_SECONDS = 3600.0


class Outage(StrEnum):
    """Name how the platform fails."""

    NONE = ""
    REFUSE = "refuse"
    HANG = "hang"


@dataclass(frozen=True)
class Faults:
    """Hold the faults switched on (milliseconds, calls, calls per second)."""

    outage: Outage = Outage.NONE
    slow_ms: float = 0.0
    lose_answers: int = 0
    host_list_lag_ms: float = 0.0
    writes_per_second: float = 500.0
    reads_per_second: float = 2000.0


class Rate:
    """Limit calls per second."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._filled_at = 0.0

    def admit(self, per_second: float) -> bool:
        """Return whether one more call is within the rate."""
        now = time.monotonic()
        gained = (now - self._filled_at) * per_second
        self._tokens = min(RATE_BURST_SECONDS * per_second, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Platform:
    """Keep objects in memory and answer the object API."""

    def __init__(self, clock: HybridClock) -> None:
        self.by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.timeline = Timeline("platform", clock)
        self._changed = anyio.Event()
        self._writes = Rate()
        self._reads = Rate()
        self._host_lists: deque[tuple[float, HostList]] = deque([(0.0, HostList())])

    async def handle(self, call: Call) -> Answer:
        """Answer one call."""
        if call.path.startswith("/control/"):
            return self._control(call)
        if call.path == "/timeline":
            return Answer(200, self.timeline.events(call.first("request")))
        kind = f"{call.method} /{call.path.split('/')[1]}"
        self.calls[kind] += 1
        if self.faults.outage is Outage.HANG:
            await anyio.sleep(HANG_SECONDS)
        if self.faults.outage is Outage.REFUSE:
            return Answer(503)
        await anyio.sleep(self.faults.slow_ms / 1000)
        is_write = call.method == "PUT"
        rate = self._writes if is_write else self._reads
        limit = (
            self.faults.writes_per_second if is_write else self.faults.reads_per_second
        )
        if not rate.admit(limit):
            return Answer(429)
        return await self._answer(call)

    async def _answer(self, call: Call) -> Answer:
        match call.method, call.path:
            case "GET", "/hosts":
                return Answer(200, self._lagging_hosts())
            case "GET", "/objects":
                return Answer(200, self._list(call))
            case "GET", "/watch":
                return Answer(200, await self._watch(call))
            case "GET", path if path.startswith("/objects/"):
                stored = self.by_key.get(path.removeprefix("/objects/"))
                return Answer(200, stored) if stored else Answer(404)
            case "PUT", path if path.startswith("/objects/"):
                return self._write(path.removeprefix("/objects/"), call)
        return Answer(404)

    def _list(self, call: Call) -> ObjectList:
        prefixes = tuple(call.query.get("prefix", [""]))
        after = int(call.first("after", "0"))
        matching = [o for k, o in self.by_key.items() if k.startswith(prefixes)]
        newer = tuple(each for each in matching if each.version > after)
        return ObjectList(max((o.version for o in matching), default=0), newer)

    async def _watch(self, call: Call) -> ObjectList:
        with anyio.move_on_after(int(call.first("wait_ms", "0")) / 1000):
            while not (changes := self._list(call)).objects:
                await self._changed.wait()
            return changes
        return self._list(call)

    def _write(self, key: str, call: Call) -> Answer:
        current = self.by_key.get(key)
        expected = int(call.header_by_name.get(VERSION_HEADER, "0"))
        if expected != (current.version if current else 0):
            return Answer(409, Conflicted(current))
        self.revision += 1
        self.by_key[key] = StoredObject(key, self.revision, msgspec.Raw(call.body))
        self.timeline.record(
            EventKind.OBJECT_WRITTEN, detail=f"{key} version {self.revision}"
        )
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        if self.faults.lose_answers > 0:
            left = self.faults.lose_answers - 1
            self.faults = replace(self.faults, lose_answers=left)
            return Answer(504)
        return Answer(200, Written(self.revision))

    def _lagging_hosts(self) -> HostList:
        seen_at = time.monotonic() - self.faults.host_list_lag_ms / 1000
        lists = [hosts for since, hosts in self._host_lists if since <= seen_at]
        return lists[-1] if lists else HostList()

    def _control(self, call: Call) -> Answer:
        match call.path:
            case "/control/faults":
                decoded = from_json(call.body, Faults)
                if decoded.is_error():
                    return Answer(400, decoded.error)
                self.faults = decoded.ok
                self.timeline.record(EventKind.FAULT_SET, detail=call.body.decode())
                return Answer(200)
            case "/control/hosts":
                decoded = from_json(call.body, HostList)
                if decoded.is_error():
                    return Answer(400, decoded.error)
                self._host_lists.append((time.monotonic(), decoded.ok))
                return Answer(200)
            case "/control/calls":
                return Answer(200, dict(self.calls))
        return Answer(404)


async def _run(address: str) -> None:
    clock = HybridClock()
    platform = Platform(clock)
    listener, bound = open_listener(address)
    click.echo(json.dumps({"address": bound}))
    sys.stdout.flush()
    await serve(make_app(platform.handle, clock), listener, anyio.sleep_forever, 0.0)


@click.command()
@click.option("--address", default="127.0.0.1:0", help="ip:port to listen on.")
def main(address: str) -> None:
    """Run the platform stand-in until it is killed."""
    anyio.run(_run, address, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
