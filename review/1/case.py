"""Send orders while a server answers some of them twice: none may run twice."""

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.client import Client, Outcome, look_up  # noqa: E402
from standins.host import make_hosts  # noqa: E402
from standins.script import run_script  # noqa: E402
from standins.server import Server  # noqa: E402
from standins.store import Store  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
# Services with one server each; the servers of half of them are faulty.
SERVICES = 6
FAULTY_SERVICES = 3
HOSTS = 3
SLOTS = 6
QUEUE = 24
ORDER_WORK_S = (0.04, 0.08)
READ_WORK_S = (0.004, 0.010)
# Clients of a service whose server is faulty, and of any other service.
ORDER_CLIENTS = 12, 1
READ_CLIENTS = 16, 1
ORDER_PAUSE_S = 0.11
READ_PAUSE_S = 0.04
DEADLINE_MS = 5000
# The case ends soon after the rule was broken.
MEASURED_S = 100.0
CHECK_INTERVAL_S = 5.0
# The sheet's `srv_grey` with `shed`: up to 0.6 of the requests for up to 9 s. It comes
# with and without the disruption.
SHED_SHARE = 0.15
# The sheets' largest `garble` with `extra late`: 0.04 of the answers of half of the
# servers, for 5 s; it may come more than once.
EXTRA_SHARE = 0.04
FAULT_S = 5.0
FAULT_PAUSE_S = 1.0
EXTRA_AFTER_S = (0.05, 0.11)
PLACE = "pupu76.example"
ORDER_PREFIX = "/timi402/"
READ_PREFIX = "/bapu561/"
PROMISES = (408, 421, 429, 503)


def make_configuration() -> dict:
    """Return a configuration with a route of orders and one of reads a service."""
    return {
        "version": 7,
        "routes": [
            {
                "name": f"{name}-{number}",
                "host": PLACE,
                "path-prefix": f"{prefix}{number}/",
                "type": kind,
                "timeout-ms": DEADLINE_MS,
                "latency-goal-ms": 554,
                "priority": 2,
                "service": f"orders{number}",
                "max-attempts": 2,
            }
            for number in range(SERVICES)
            for name, prefix, kind in (
                ("r-s4qmv29", ORDER_PREFIX, "non_idempotent"),
                ("r-kz7ubj6", READ_PREFIX, "idempotent"),
            )
        ],
        "services": [
            {
                "name": f"orders{number}",
                "health-path": "/health",
                "max-conns": 96,
                "protocol": "h1",
                "tls": False,
            }
            for number in range(SERVICES)
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


async def call_regularly(
    is_ordering: bool,
    number: int,
    address: str,
    outcomes: list[Outcome],
    rng: random.Random,
) -> None:
    """Send orders, or reads, until cancelled; keep to `Retry-After`."""
    client = Client(PLACE)
    pause_s = ORDER_PAUSE_S if is_ordering else READ_PAUSE_S
    request = (
        (f"{ORDER_PREFIX}{number}/2f", DEADLINE_MS, "POST", b"one tank")
        if is_ordering
        else (f"{READ_PREFIX}{number}/2f", DEADLINE_MS)
    )
    while True:
        outcome = await client.send(address, *request)
        outcomes.append(outcome)
        retry_after = float(outcome.headers.get("retry-after", 0))
        await asyncio.sleep(retry_after + pause_s * rng.uniform(0.5, 1.5))


async def inject_faults(servers: list[Server]) -> None:
    """Have servers reject requests and send late second copies, for some time each."""
    while True:
        for server in servers:
            server.shed_share = SHED_SHARE
            server.extra_share = EXTRA_SHARE if HAS_TROUBLE else 0.0
        await asyncio.sleep(FAULT_S)
        for server in servers:
            server.shed_share = server.extra_share = 0.0
        await asyncio.sleep(FAULT_PAUSE_S)


async def run(folder: Path, record) -> int:
    """Play the case; return the exit code."""
    rng = random.Random(SEED)
    store = Store()
    await store.start()
    store.put("config", "main", make_configuration())
    servers = []
    for number in range(SERVICES):
        server = Server(
            f"i-{number:02}",
            f"orders{number}",
            "zone-a",
            store,
            work_s=lambda target: rng.uniform(
                *(ORDER_WORK_S if target.startswith(ORDER_PREFIX) else READ_WORK_S)
            ),
            slots=SLOTS,
            queue=QUEUE,
            extra_after_s=EXTRA_AFTER_S,
            seed=SEED,
        )
        await server.start()
        servers.append(server)
    hosts = make_hosts(
        {f"front-a-{number}": "zone-a" for number in range(HOSTS)},
        store.address,
        folder,
    )
    try:
        for host in hosts:
            host.start()
        for host in hosts:
            if not await host.wait_until_ready():
                print(f"{host.name} is not ready", file=record)
                return 2
        await asyncio.sleep(2.0)
        addresses = await look_up(hosts[0], "zone-a", PLACE)
        print(f"addresses named to clients: {addresses}", file=record)
        if not addresses:
            return 2
        outcomes: list[Outcome] = []
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = [
            asyncio.ensure_future(
                call_regularly(
                    number < ORDER_CLIENTS[service >= FAULTY_SERVICES],
                    service,
                    addresses[number % len(addresses)],
                    outcomes,
                    random.Random(f"{SEED} {service} {number}"),
                )
            )
            for service in range(SERVICES)
            for number in range(
                ORDER_CLIENTS[service >= FAULTY_SERVICES]
                + READ_CLIENTS[service >= FAULTY_SERVICES]
            )
        ]
        tasks.append(asyncio.ensure_future(inject_faults(servers[:FAULTY_SERVICES])))
        while loop.time() < start + MEASURED_S and not find_broken(outcomes):
            await asyncio.sleep(CHECK_INTERVAL_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(1.0)
        return report(outcomes, servers, start, record)
    finally:
        for host in hosts:
            host.kill()


def find_broken(outcomes: list[Outcome]) -> dict[str, str]:
    """Return the rule that each order breaks, by the ids of the orders."""
    count_by_id = Counter(each.attempt_id for each in Server.runs)
    broken = {}
    for outcome in outcomes:
        if outcome.target.startswith(ORDER_PREFIX):
            count = count_by_id[outcome.attempt_id]
            if count > 1:
                broken[outcome.attempt_id] = "TWICE"
            elif count and outcome.status in PROMISES:
                broken[outcome.attempt_id] = "REFUSED"
    return broken


def report(outcomes: list[Outcome], servers: list, start: float, record) -> int:
    """Write what was sent, answered and run; return the exit code."""
    runs_by_id: dict[str, list] = {}
    for each in Server.runs:
        runs_by_id.setdefault(each.attempt_id, []).append(each)
    broken = find_broken(outcomes)
    print("orders: sent at, id, target, status, time, runs", file=record)
    for outcome in outcomes:
        if not outcome.target.startswith(ORDER_PREFIX):
            continue
        runs = runs_by_id.get(outcome.attempt_id, [])
        ran = ", ".join(f"{each.server} at {each.at - start:.3f}" for each in runs)
        rule = broken.get(outcome.attempt_id)
        print(
            f"{outcome.sent_at - start:.3f} {outcome.attempt_id} {outcome.target} "
            f"{outcome.status} {(outcome.ended_at - outcome.sent_at) * 1000:.0f} ms, "
            f"{ran or 'not run'}" + (f" BROKEN {rule}" if rule else ""),
            file=record,
        )
    for name, prefix in (("orders", ORDER_PREFIX), ("reads", READ_PREFIX)):
        sent = [each for each in outcomes if each.target.startswith(prefix)]
        runs = sum(len(runs_by_id.get(each.attempt_id, ())) for each in sent)
        statuses = dict(Counter(each.status for each in sent))
        print(f"{len(sent)} {name}, statuses {statuses}, {runs} runs", file=record)
    by_rule = Counter(broken.values())
    summary = (
        f"{len(outcomes)} requests, {len(Server.runs)} runs, "
        f"{sum(each.rejected_count for each in servers)} rejections by servers, "
        f"{sum(each.extra_count for each in servers)} second copies of answers, "
        f"{by_rule['TWICE']} orders ran twice, "
        f"{by_rule['REFUSED']} ran that were refused with a promise"
    )
    print(summary, file=record)
    print(summary)
    return 1 if broken else 0


if __name__ == "__main__":
    raise run_script(FOLDER, run)
