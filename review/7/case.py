"""A host that has just started holds removals of servers back, for all hosts."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from standins_2.callers import Traffic, list_requests
from standins_2.hosts import BOUNDS, Host, make_hosts
from standins_2.servers import Server, list_arrivals
from standins_2.store import Store

HOSTS = 3
CYCLES = 8
SERVERS = 16
# Servers that leave in each cycle, one after the other.
LEAVING = 8
LEAVING_GAP_SECONDS = 0.2
# From the end of a process to its start by the platform.
RESTART_SECONDS = 0.5
# A server that leaves without saying so serves on for the drain time, and for this.
EXTRA_SECONDS = 2.0
WORK_SECONDS = 0.3
CALLERS = 60
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "sheets",
            "host": "shop.example",
            "path-prefix": "/sheets/",
            "type": "idempotent",
            "service": "sheets",
            "timeout-ms": 3000,
            "latency-goal-ms": 1500,
            "max-attempts": 2,
            "priority": 0,
        }
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
    """Play the case, and judge what reached the servers that left."""

    def __init__(self, *, has_trouble: bool) -> None:
        self.lines: list[str] = []
        self.details: list[str] = []
        self.start = time.monotonic()
        self.store = Store()
        self.store.on_call = self.note_call
        self.has_trouble = has_trouble
        self.hosts: list[Host] = []
        self.polls: list[tuple[float, str]] = []
        self.server_count = 0
        self.ready: list[Server] = []
        self.removed: list[tuple[Server, float]] = []
        self.traffic = Traffic(
            lambda: [host.address for host in self.hosts if host.is_running],
            "/sheets/",
            0.02,
        )
        # Spans of time in which a host was being stopped and started.
        self.restarts: list[tuple[str, float, float]] = []

    def say(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.start:8.3f} {text}")

    def note_call(self, host: str, method: str, kind: str, value: dict) -> None:
        """Note which host reads the servers."""
        if method == "GET" and kind == "servers":
            self.polls.append((time.monotonic(), host))

    async def add_servers(self, count: int) -> None:
        """Start servers, and register them."""
        for _ in range(count):
            self.server_count += 1
            server = Server(
                f"i-{self.server_count:03d}",
                "sheets",
                work_seconds=WORK_SECONDS,
                slots=2,
            )
            await server.start()
            server.register(self.store)
            self.ready.append(server)

    async def play(self) -> int:
        """Return the exit status."""
        await self.add_servers(SERVERS)
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
            self.traffic.start(CALLERS)
            await asyncio.sleep(BOUNDS["stable-window-ms"] / 1000 + 1)
            for number in range(CYCLES):
                await self.cycle(number)
            return self.judge()
        finally:
            self.traffic.stop()
            for host in self.hosts:
                host.kill()
            servers = [*self.ready, *(server for server, _ in self.removed)]
            for server in servers:
                server.stop()
            folder.cleanup()
            self.details = [
                *list_requests(self.traffic.outcomes, self.start),
                *list_arrivals(servers, self.start),
            ]

    async def cycle(self, number: int) -> None:
        """Restart the host that reads the store, while servers leave."""
        polling = next(host for host in self.hosts if host.name == self.polls[-1][1])
        restart = asyncio.ensure_future(self.restart(polling))
        if not self.has_trouble:
            restart.cancel()
        await asyncio.sleep(4.5 + 0.13 * number)
        for _ in range(LEAVING):
            server = self.ready.pop(0)
            self.store.delete("servers", server.name)
            self.removed.append((server, time.monotonic()))
            asyncio.get_running_loop().call_later(
                BOUNDS["drain-ms"] / 1000 + EXTRA_SECONDS, server.stop
            )
            await asyncio.sleep(LEAVING_GAP_SECONDS)
        await asyncio.sleep(BOUNDS["drain-ms"] / 1000 + EXTRA_SECONDS)
        await self.add_servers(LEAVING)

    async def restart(self, host: Host) -> None:
        """Stop a host as planned, and start it again when it has ended."""
        since = time.monotonic()
        host.send_signal(signal.SIGTERM)
        self.say(f"{host.name}, which reads the store, gets SIGTERM")
        grace_end = since + BOUNDS["grace-s"]
        while host.is_running and time.monotonic() < grace_end:
            await asyncio.sleep(0.02)
        host.kill()
        self.say(f"{host.name} has ended")
        await asyncio.sleep(RESTART_SECONDS)
        host.start()
        self.say(f"{host.name} is started again")
        self.restarts.append((host.address, since, time.monotonic()))

    def is_in_touch(self, address: str, at: float) -> bool:
        """Return whether a host was neither stopped nor started shortly before."""
        window = BOUNDS["stable-window-ms"] / 1000
        return not any(
            restarted == address and since <= at < until + window
            for restarted, since, until in self.restarts
        )

    def judge(self) -> int:
        """Return 1 if requests reached servers too long after their removal."""
        by_attempt = {each.attempt: each for each in self.traffic.outcomes}
        late = 0
        for server, removed_at in self.removed:
            for at, attempt, _, is_meant, _ in server.arrivals:
                outcome = by_attempt.get(attempt)
                if (
                    not is_meant
                    or outcome is None
                    or at <= removed_at + BOUNDS["drain-ms"] / 1000
                    or not self.is_in_touch(outcome.host, at)
                ):
                    continue
                late += 1
                self.say(
                    f"{attempt}, sent to {outcome.host}, reached {server.name}"
                    f" {at - removed_at:.3f} s after its removal"
                )
        statuses = [each.status for each in self.traffic.outcomes]
        counts = {status: statuses.count(status) for status in set(statuses)}
        self.say(f"answers by status: {counts}")
        self.say(f"requests that reached servers too late: {late}")
        if 200 not in counts:
            self.say("the case could not run: nothing was served")
            return 2
        return 1 if late else 0


def main() -> None:
    """Play the case, write the record and exit with its status."""
    case = Case(has_trouble=os.environ.get("TROUBLE", "1") != "0")
    status = 2
    try:
        status = asyncio.run(asyncio.wait_for(case.play(), 115))
    except Exception as error:
        case.say(f"the case could not run: {error!r}")
    case.say(f"exit status {status}")
    Path("record.txt").write_text("\n".join([*case.lines, *case.details, ""]))
    print("\n".join(case.lines[-12:]))
    sys.exit(status)


if __name__ == "__main__":
    main()
