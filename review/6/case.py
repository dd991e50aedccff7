"""A removal that one host has read during its delay is lost when that host ends."""

import asyncio
import os
import sys
import time
from pathlib import Path

from standins_2.callers import Outcome, Traffic, list_requests
from standins_2.hosts import BOUNDS, Host, make_hosts
from standins_2.servers import Server, list_arrivals
from standins_2.store import Store

HOSTS = 3
OUTAGE_SECONDS = 2.0
# From the first host that reads the servers after the outage, to its kill.
KILL_DELAY_SECONDS = 1.0
RESTART_SECONDS = 1.0
# The leaving server ends this long after its entry is removed.
SERVES_SECONDS = 9.5
WORK_SECONDS = 0.1


def make_route(name: str, kind: str) -> dict:
    """Return a route to the servers."""
    return {
        "name": name,
        "host": "shop.example",
        "path-prefix": f"/{name}/",
        "type": kind,
        "service": "sheets",
        "timeout-ms": 2000,
        "latency-goal-ms": 500,
        "max-attempts": 2,
        "priority": 0,
    }


CONFIGURATION = {
    "version": 3,
    "routes": [
        make_route("sheets", "idempotent"),
        make_route("orders", "non_idempotent"),
    ],
    "services": [{"name": "sheets", "max-conns": 96, "health-path": "/health"}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 5000,
        "idle-timeout-ms": 20000,
    },
}


class Case:
    """Play the case, and judge what reached the server that left."""

    def __init__(self, *, has_trouble: bool) -> None:
        self.lines: list[str] = []
        self.details: list[str] = []
        self.start = time.monotonic()
        self.store = Store()
        self.store.on_call = self.note_call
        self.has_trouble = has_trouble
        self.hosts: list[Host] = []
        self.readers: list[tuple[float, str]] = []
        self.notes_readers = False
        self.reads = Traffic(self.running_addresses, "/sheets/", 0.02)
        self.orders = Traffic(self.running_addresses, "/orders/", 0.02, "POST")

    def running_addresses(self) -> list[str]:
        """Return the addresses of the hosts that run."""
        return [host.address for host in self.hosts if host.is_running]

    def say(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.start:8.3f} {text}")

    def note_call(self, host: str, method: str, kind: str, value: dict) -> None:
        """Note which host reads the servers after the outage."""
        if self.notes_readers and method == "GET" and kind == "servers":
            removed = [
                event["object"]["meta"]["name"]
                for event in value.get("events", ())
                if event["deleted"]
            ]
            self.readers.append((time.monotonic(), host))
            self.say(f"{host} reads the servers; removed: {removed}")

    @property
    def outcomes(self) -> list[Outcome]:
        """Return what became of all requests."""
        return [*self.reads.outcomes, *self.orders.outcomes]

    async def play(self) -> int:
        """Return the exit status."""
        servers = [
            Server(f"i-{number}", "sheets", work_seconds=WORK_SECONDS)
            for number in range(3)
        ]
        for server in servers:
            await server.start()
            server.register(self.store)
        self.store.put("config", "main", CONFIGURATION)
        addresses = [
            await self.store.add_host(f"host-{number + 1}") for number in range(HOSTS)
        ]
        self.hosts, folder = make_hosts(HOSTS, addresses, ["z1"])
        try:
            for host in self.hosts:
                host.start()
            for host in self.hosts:
                await host.wait_ready()
            self.say("all hosts are ready")
            self.reads.start(16)
            self.orders.start(16)
            return await self.trouble(servers[0])
        finally:
            self.reads.stop()
            self.orders.stop()
            for host in self.hosts:
                host.kill()
            for server in servers:
                server.stop()
            folder.cleanup()
            self.details = [
                *list_requests(self.outcomes, self.start),
                *list_arrivals(servers, self.start),
            ]

    async def trouble(self, leaving: Server) -> int:
        """Remove a server's entry, at the beginning of an outage, and judge."""
        await asyncio.sleep(BOUNDS["stable-window-ms"] / 1000 + 1.5)
        await self.wait_until_no_watch()
        self.store.delete("servers", leaving.name)
        removed_at = time.monotonic()
        self.say(f"the store has removed the entry of {leaving.name}, which serves on")
        if self.has_trouble:
            self.store.set_mode("reset")
            self.say("the store is down")
            await asyncio.sleep(OUTAGE_SECONDS)
            self.notes_readers = True
            self.store.set_mode("up")
            self.say("the store is back")
        back_at = time.monotonic()
        killed: Host | None = None
        if self.has_trouble:
            while not self.readers:
                await asyncio.sleep(0.01)
            await asyncio.sleep(KILL_DELAY_SECONDS)
            name = self.readers[0][1]
            killed = next(host for host in self.hosts if host.name == name)
            killed.kill()
            self.say(f"{killed.name} is killed")
            self.notes_readers = False
            await asyncio.sleep(RESTART_SECONDS)
            killed.start()
            self.say(f"{killed.name} is started again")
        await asyncio.sleep(removed_at + SERVES_SECONDS - time.monotonic())
        leaving.stop()
        ended_at = time.monotonic()
        self.say(f"{leaving.name} ends")
        await asyncio.sleep(WORK_SECONDS)
        # From here on the store is stable and the hosts that were not killed in touch.
        in_touch_at = back_at + BOUNDS["stable-window-ms"] / 1000
        late_at = max(in_touch_at, removed_at + BOUNDS["drain-ms"] / 1000)
        by_attempt = {each.attempt: each for each in self.outcomes}
        late = [
            (at, attempt)
            for at, attempt, _, is_meant, _ in leaving.arrivals
            if is_meant
            and attempt in by_attempt
            and by_attempt[attempt].sent_at >= late_at
            and (killed is None or by_attempt[attempt].host != killed.address)
        ]
        for at, attempt in late[:20]:
            host = by_attempt[attempt].host
            self.say(
                f"{attempt}, sent to {host}, reached {leaving.name}"
                f" {at - removed_at:.3f} s after its removal"
            )
        statuses = [each.status for each in self.outcomes]
        counts = {status: statuses.count(status) for status in set(statuses)}
        self.say(f"answers by status: {counts}")
        on_leaving = {attempt for _, attempt, *_ in leaving.arrivals}
        broken = [
            each
            for each in self.orders.outcomes
            if each.attempt in on_leaving
            and each.status != 200
            and each.sent_at < ended_at < each.ended_at + WORK_SECONDS
        ]
        self.say(f"orders broken off when {leaving.name} ended: {len(broken)}")
        self.say(f"requests that reached {leaving.name} too late: {len(late)}")
        if 200 not in counts:
            self.say("the case could not run: nothing was served")
            return 2
        return 1 if late else 0

    async def wait_until_no_watch(self) -> None:
        """Wait until no host has a watch of the servers pending."""
        while self.store.pending_watches("servers"):
            await asyncio.sleep(0.005)


def main() -> None:
    """Play the case, write the record and exit with its status."""
    case = Case(has_trouble=os.environ.get("TROUBLE", "1") != "0")
    status = 2
    try:
        status = asyncio.run(asyncio.wait_for(case.play(), 100))
    except Exception as error:
        case.say(f"the case could not run: {error!r}")
    case.say(f"exit status {status}")
    Path("record.txt").write_text("\n".join([*case.lines, *case.details, ""]))
    print("\n".join(case.lines[-12:]))
    sys.exit(status)


if __name__ == "__main__":
    main()
