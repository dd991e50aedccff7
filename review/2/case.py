"""Freeze a host for moments while a relay answers it, and check its answers."""

import asyncio
import os
import random
import signal
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
SHARDS = 20
RECORDS_PER_PART = 12
TOP_K = 10
MIN_SHARE = 0.89
GOAL_MS = 100
DEADLINE_MS = 1200
# Without hedges, the relay's response alone decides.
MAX_ATTEMPTS = 1
CLIENTS = 8
PAUSE_S = 0.2
# The platform's longest freeze on the sheet is 4 s.
FREEZE_S = (0.080, 0.105)
FREEZE_INTERVAL_S = 1.0
MEASURED_S = 45.0
PLACE = "pupu76.example"
TARGET = "/ziti980/ti38/2f"


def make_configuration() -> dict:
    """Return a configuration with one route to all shards."""
    shards = [f"shard{number}" for number in range(SHARDS)]
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-zqghvik",
                "host": PLACE,
                "path-prefix": "/ziti980/ti38/",
                "type": "idempotent",
                "timeout-ms": DEADLINE_MS,
                "latency-goal-ms": GOAL_MS,
                "priority": 1,
                "gather": shards,
                "max-attempts": MAX_ATTEMPTS,
                "top-k": TOP_K,
                "min-version": MIN_SHARE,
            }
        ],
        "services": [
            {
                "name": shard,
                "health-path": "/health",
                "max-conns": 26,
                "protocol": "h1",
                "tls": False,
            }
            for shard in shards
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def find_fault(outcome: Outcome) -> str:
    """Return how a success breaks the rule, or an empty text."""
    if outcome.status != 200:
        return ""
    stamps = [each.strip() for each in outcome.headers["part-stamps"].split(",")]
    missing = int(outcome.headers.get("missing-parts", 0))
    services = [stamp.split(".")[0] for stamp in stamps]
    if len(set(services)) != len(services):
        return "two parts of one service"
    for stamp in stamps:
        if stamp not in Server.records_by_stamp or not stamp.endswith(
            outcome.attempt_id
        ):
            return f"{stamp} is no answer to this request"
    if len(stamps) + missing != SHARDS:
        return f"{len(stamps)} parts and {missing} missing do not make up {SHARDS}"
    if len(stamps) < MIN_SHARE * SHARDS:
        return f"only {len(stamps)} parts"
    records = [each for stamp in stamps for each in Server.records_by_stamp[stamp]]
    expected = sorted(records, reverse=True)[:TOP_K]
    if outcome.body != b"".join(expected):
        found = [
            outcome.body[start : start + 16]
            for start in range(0, len(outcome.body), 16)
        ]
        lacking = len(set(expected) - set(found))
        return (
            f"body has {len(found)} records, and lacks {lacking} of the {TOP_K} "
            f"greatest of its {len(stamps)} parts"
        )
    return ""


async def call_regularly(client: Client, address: str, outcomes: list[Outcome]) -> None:
    """Send requests until cancelled."""
    rng = random.Random(f"{SEED} {id(client)}")
    while True:
        outcomes.append(await client.send(address, TARGET, DEADLINE_MS))
        await asyncio.sleep(PAUSE_S * rng.uniform(0.5, 1.5))


async def run(folder: Path, record) -> int:
    """Play the case; return the exit code."""
    rng = random.Random(SEED)
    store = Store()
    await store.start()
    store.put("config", "main", make_configuration())
    for number in range(SHARDS):
        for copy in range(2):
            server = Server(
                f"i-{number:02}{copy}",
                f"shard{number}",
                "zone-a",
                store,
                work_s=lambda target: rng.uniform(0.008, 0.016),
                record_count=RECORDS_PER_PART,
                seed=SEED,
            )
            await server.start()
    hosts = make_hosts(
        {"front-a-1": "zone-a", "front-b-1": "zone-b"}, store.address, folder
    )
    near, far = hosts
    try:
        for host in hosts:
            host.start()
        for host in hosts:
            if not await host.wait_until_ready():
                print(f"{host.name} is not ready", file=record)
                return 2
        await asyncio.sleep(2.0)
        addresses = await look_up(far, far.zone, PLACE)
        print(f"addresses named to clients of {far.zone}: {addresses}", file=record)
        if far.front not in addresses:
            print("the host is not named to clients", file=record)
            return 2
        outcomes: list[Outcome] = []
        clients = [Client(PLACE) for _ in range(CLIENTS)]
        tasks = [
            asyncio.ensure_future(call_regularly(client, far.front, outcomes))
            for client in clients
        ]
        loop = asyncio.get_running_loop()
        start = loop.time()
        await asyncio.sleep(5.0)
        freezes = 0
        while loop.time() < start + MEASURED_S:
            await asyncio.sleep(FREEZE_INTERVAL_S * rng.uniform(0.8, 1.2))
            if HAS_TROUBLE:
                freezes += 1
                far.send_signal(signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(*FREEZE_S))
                far.send_signal(signal.SIGCONT)
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        return report(outcomes, start, freezes, record)
    finally:
        for host in hosts:
            host.kill()


def report(outcomes: list[Outcome], start: float, freezes: int, record) -> int:
    """Write what was sent and answered; return the exit code."""
    for outcome in outcomes:
        fault = find_fault(outcome)
        stamps = outcome.headers.get("part-stamps", "")
        print(
            f"{outcome.sent_at - start:8.3f} {outcome.attempt_id} "
            f"status {outcome.status} "
            f"after {(outcome.ended_at - outcome.sent_at) * 1000:6.1f} ms, "
            f"{stamps.count(',') + 1 if stamps else 0} parts, "
            f"missing {outcome.headers.get('missing-parts', '-')}, "
            f"{len(outcome.body) // 16} records"
            + (f" BROKEN MIXED: {fault}" if fault else ""),
            file=record,
        )
    statuses = Counter(outcome.status for outcome in outcomes)
    broken = sum(bool(find_fault(outcome)) for outcome in outcomes)
    run_ids = {run.attempt_id for run in Server.runs}
    summary = (
        f"{len(outcomes)} requests, statuses {dict(statuses)}, "
        f"{len(Server.runs)} runs at servers of {len(run_ids)} requests, "
        f"{freezes} freezes, {broken} answers break MIXED"
    )
    print(summary, file=record)
    print(summary)
    return 1 if broken else 0


if __name__ == "__main__":
    raise run_script(FOLDER, run)
