"""Open-loop load test of a local cluster, with a report of the results."""

import itertools
import json
import random
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import click
import httpx

from crocusbay.protocol import to_json
from crocusbay.state import Deployment, ServiceKind
from crocusbay.state.questionnaire import parse_questionnaire
from crocusbay_standins.fault_injection import FAULT_INJECTOR_BY_NAME
from crocusbay_standins.local_cluster import (
    LocalCluster,
    LocalClusterConfig,
    run_local_cluster,
)
from crocusbay_standins.report import (
    CallerResults,
    Report,
    RunConfig,
    format_report,
    make_report,
    read_usage,
)
from crocusbay_standins.simulated_server import SimulationConfig

CALLER_COUNT = 24
CALL_TIMEOUT_SECONDS = 10.0
WARM_UP_SECONDS = 3.0
DISTINCT_QUERIES = 10_000
FAULT_START_SHARE = 1 / 3


@dataclass(frozen=True)
class RequestMix:
    """Set the shares of document requests and orders; the rest are searches."""

    documents: float = 0.08
    orders: float = 0.02


@dataclass(frozen=True)
class Arrival:
    """Describe one request; `at` is its send time in seconds after the start."""

    at: float
    kind: ServiceKind
    caller: int
    number: int


def plan_arrivals(
    rate: float, seconds: float, mix: RequestMix, seed: int
) -> Iterator[Arrival]:
    """Yield Poisson arrivals that are determined by the arguments alone."""
    generator = random.Random(seed)
    at = 0.0
    for number in itertools.count():
        at += generator.expovariate(rate)
        if at > seconds:
            return
        draw = generator.random()
        kind = ServiceKind.SEARCH
        if draw < mix.orders:
            kind = ServiceKind.ORDER
        elif draw < mix.orders + mix.documents:
            kind = ServiceKind.DOCUMENT
        yield Arrival(at, kind, generator.randrange(CALLER_COUNT), number)


class Caller:
    """Send requests to the first host address, cached for its stated lifetime."""

    def __init__(self, number: int, entry: str, place: str) -> None:
        self._entry = entry
        self._place = place
        self._addresses: list[str] = []
        self._addresses_valid_until = 0.0
        self._http = httpx.AsyncClient(timeout=CALL_TIMEOUT_SECONDS, trust_env=False)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def send(self, method: str, path: str, body: bytes = b"") -> httpx.Response:
        """Send a request to the first reachable address; raise httpx.HTTPError."""
        for address in await self._get_addresses():
            try:
                url = f"http://{address}{path}"
                return await self._http.request(method, url, content=body)
            except httpx.ConnectError:
                self._addresses_valid_until = 0.0
        raise httpx.ConnectError("no address accepts a connection")

    async def _get_addresses(self) -> list[str]:
        if time.monotonic() < self._addresses_valid_until:
            return self._addresses
        url = f"http://{self._entry}/entry?place={self._place}"
        for address in [self._entry, *self._addresses]:
            url = f"http://{address}/entry?place={self._place}"
            try:
                resolution = (await self._http.get(url)).json()
            except httpx.HTTPError:
                continue
            self._addresses = resolution["addresses"]
            self._addresses_valid_until = (
                time.monotonic() + resolution["lifetime_ms"] / 1000
            )
            break
        return self._addresses


class LoadGenerator:
    """Send requests to a local cluster and collect the responses."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._deployment = cluster.deployment
        self.results = CallerResults()
        entry = next(iter(cluster.host_by_name.values())).startup_info["caller_address"]
        places = cluster.deployment.places
        self._callers = [
            Caller(number, entry, places[number % len(places)])
            for number in range(CALLER_COUNT)
        ]

    async def run(self, arrivals: Iterator[Arrival]) -> None:
        """Send each request at its time without waiting for earlier ones."""
        start = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for arrival in arrivals:
                delay = start + arrival.at - time.monotonic()
                if delay > 0:
                    await anyio.sleep(delay)
                tasks.start_soon(self._send, arrival, start)

    async def close(self) -> None:
        """Close the callers' connections."""
        for caller in self._callers:
            await caller.close()

    async def _send(self, arrival: Arrival, start: float) -> None:
        method, path, body = self._build_request(arrival)
        try:
            response = await self._callers[arrival.caller].send(method, path, body)
        except httpx.HTTPError as error:
            self.results.verdicts[f"{arrival.kind} {type(error).__name__}"] += 1
            return
        seconds = time.monotonic() - start - arrival.at
        self.results.record(
            arrival.kind, seconds, response.status_code, response.json()
        )

    def _build_request(self, arrival: Arrival) -> tuple[str, str, bytes]:
        base = f"/deployments/{self._deployment.name}"
        number = arrival.number
        match arrival.kind:
            case ServiceKind.SEARCH:
                return "GET", f"{base}/search?q=query-{number % DISTINCT_QUERIES}", b""
            case ServiceKind.DOCUMENT:
                service = self._first_service(ServiceKind.DOCUMENT)
                path = f"{base}/services/{service}/documents/d{number}"
                return "GET", path, b""
            case ServiceKind.ORDER:
                service = self._first_service(ServiceKind.ORDER)
                path = (
                    f"{base}/services/{service}/orders/load-{arrival.at:.6f}-{number}"
                )
                return "POST", path, to_json({"number": number})

    def _first_service(self, kind: ServiceKind) -> str:
        return next(s.name for s in self._deployment.services if s.kind is kind)


def load_deployment(file: Path) -> Deployment:
    """Return the deployment of a questionnaire; raise ValueError if it is invalid."""
    parsed = parse_questionnaire(file.read_text(encoding="utf-8"))
    if parsed.is_error():
        raise ValueError("\n".join(str(fault) for fault in parsed.error))
    return parsed.ok.deployment


async def run_load_test(cluster: LocalCluster, run: RunConfig) -> Report:
    """Run a warm-up and then the load with its fault, and return the report."""
    generator = LoadGenerator(cluster)
    await generator.run(
        plan_arrivals(run.rate, WARM_UP_SECONDS, RequestMix(), run.seed + 1)
    )
    generator.results = CallerResults()
    before = read_usage(cluster)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_inject_fault, cluster, run)
        await generator.run(
            plan_arrivals(run.rate, run.seconds, RequestMix(), run.seed)
        )
    after = read_usage(cluster)
    await generator.close()
    return make_report(cluster.config, run, generator.results, before, after)


async def _inject_fault(cluster: LocalCluster, run: RunConfig) -> None:
    await anyio.sleep(run.seconds * FAULT_START_SHARE)
    await anyio.to_thread.run_sync(FAULT_INJECTOR_BY_NAME[run.trouble], cluster)


@click.command()
@click.argument("questionnaire", type=click.Path(path_type=Path, exists=True))
@click.option("--hosts", default=7, show_default=True)
@click.option("--upstream-processes", default=3, show_default=True)
@click.option("--rate", default=50.0, show_default=True, help="Requests a second.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--one-way-ms", default=4.5, show_default=True)
@click.option("--loss-share", default=0.0, show_default=True)
@click.option(
    "--trouble",
    type=click.Choice(list(FAULT_INJECTOR_BY_NAME)),
    default="none",
    show_default=True,
    help="Fault to inject after a third of the run.",
)
@click.option("--json", "json_file", type=click.Path(path_type=Path))
def main(
    questionnaire: Path,
    hosts: int,
    upstream_processes: int,
    rate: float,
    seconds: float,
    seed: int,
    one_way_ms: float,
    loss_share: float,
    trouble: str,
    json_file: Path | None,
) -> None:
    """Run a load test of the deployment in QUESTIONNAIRE on a local cluster."""
    deployment = load_deployment(questionnaire)
    simulation_config = SimulationConfig(one_way_ms=one_way_ms, loss_share=loss_share)
    config = LocalClusterConfig(
        deployment, hosts, upstream_processes, simulation_config
    )
    run = RunConfig(rate, seconds, seed, trouble)
    with run_local_cluster(config) as cluster:
        report = anyio.run(
            run_load_test, cluster, run, backend_options={"use_uvloop": True}
        )
    click.echo(format_report(report))
    if json_file:
        json_file.write_text(json.dumps(asdict(report), indent=2) + "\n")


if __name__ == "__main__":
    main()
