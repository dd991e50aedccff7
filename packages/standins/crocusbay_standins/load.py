"""Load tool: an open loop of callers against a lab, with a report."""

import itertools
import json
import os
import random
import re
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import anyio
import click
import httpx
from hdrh.histogram import HdrHistogram

from crocusbay.protocol import to_json
from crocusbay.state import Deployment, ServiceKind
from crocusbay.state.questionnaire import parse_questionnaire
from crocusbay_standins.behaviour import Model
from crocusbay_standins.lab import Lab, LabSetup, Program, running_lab

CALLERS = 24
MAX_MICROS = 60_000_000
CALL_TIMEOUT_SECONDS = 10.0
WARM_UP_SECONDS = 3.0
QUERIES = 10_000
_SUB_REQUESTS = re.compile(
    r'^crocusbay_sub_requests_total\{.*reason="(\w+)"\} (\S+)$', re.MULTILINE
)


@dataclass(frozen=True)
class Mix:
    """Set the shares of documents and orders; the rest are searches."""

    documents: float = 0.08
    orders: float = 0.02


@dataclass(frozen=True)
class Arrival:
    """Hold one request to send at a moment after the start (seconds)."""

    at: float
    kind: ServiceKind
    caller: int
    number: int


def plan_arrivals(
    rate: float, seconds: float, mix: Mix, seed: int
) -> Iterator[Arrival]:
    """Return Poisson arrivals that depend on the seed alone."""
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
        yield Arrival(at, kind, generator.randrange(CALLERS), number)


@dataclass
class Tally:
    """Collect what callers see."""

    latency_by_kind: dict[str, HdrHistogram] = field(default_factory=dict)
    verdicts: Counter[str] = field(default_factory=Counter)
    coverage_sum: float = 0.0
    coverage_least: float = 1.0
    searches: int = 0
    complete: int = 0

    def add(self, kind: str, seconds: float, status: int, body: dict) -> None:
        """Take one answer."""
        histogram = self.latency_by_kind.setdefault(
            kind, HdrHistogram(1, MAX_MICROS, 3)
        )
        histogram.record_value(max(1, int(seconds * 1e6)))
        verdict = body.get("verdict") or ("ran" if status == 200 else f"http-{status}")
        cause = body.get("cause")
        self.verdicts[f"{kind} {verdict}{f' {cause}' if cause else ''}"] += 1
        if kind == ServiceKind.SEARCH and status == 200:
            self.searches += 1
            self.complete += body["is_complete"]
            self.coverage_sum += body["coverage_ratio"]
            self.coverage_least = min(self.coverage_least, body["coverage_ratio"])


class Caller:
    """Ask for addresses, keep the answer for its lifetime and use its first."""

    def __init__(self, number: int, entry: str, place: str) -> None:
        self._entry = entry
        self._place = place
        self._addresses: list[str] = []
        self._until = 0.0
        self._http = httpx.AsyncClient(timeout=CALL_TIMEOUT_SECONDS, trust_env=False)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def send(self, method: str, path: str, body: bytes = b"") -> httpx.Response:
        """Send a request to the first address that accepts a connection."""
        for address in await self._known():
            try:
                url = f"http://{address}{path}"
                return await self._http.request(method, url, content=body)
            except httpx.ConnectError:
                self._until = 0.0
        raise httpx.ConnectError("no address accepts a connection")

    async def _known(self) -> list[str]:
        if time.monotonic() < self._until:
            return self._addresses
        url = f"http://{self._entry}/entry?place={self._place}"
        for address in [self._entry, *self._addresses]:
            url = f"http://{address}/entry?place={self._place}"
            try:
                answer = (await self._http.get(url)).json()
            except httpx.HTTPError:
                continue
            self._addresses = answer["addresses"]
            self._until = time.monotonic() + answer["lifetime_ms"] / 1000
            break
        return self._addresses


class Load:
    """Send arrivals to a lab and collect the answers."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self._deployment = lab.deployment
        self.tally = Tally()
        entry = next(iter(lab.host_by_name.values())).announced["caller_address"]
        places = lab.deployment.places
        self._callers = [
            Caller(number, entry, places[number % len(places)])
            for number in range(CALLERS)
        ]

    async def run(self, arrivals: Iterator[Arrival]) -> None:
        """Send each request at its moment, whether or not earlier ones ended."""
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
        method, path, body = self._describe(arrival)
        try:
            response = await self._callers[arrival.caller].send(method, path, body)
        except httpx.HTTPError as error:
            self.tally.verdicts[f"{arrival.kind} {type(error).__name__}"] += 1
            return
        seconds = time.monotonic() - start - arrival.at
        self.tally.add(arrival.kind, seconds, response.status_code, response.json())

    def _describe(self, arrival: Arrival) -> tuple[str, str, bytes]:
        base = f"/deployments/{self._deployment.name}"
        number = arrival.number
        match arrival.kind:
            case ServiceKind.SEARCH:
                return "GET", f"{base}/search?q=query-{number % QUERIES}", b""
            case ServiceKind.DOCUMENT:
                service = self._first(ServiceKind.DOCUMENT)
                path = f"{base}/services/{service}/documents/d{number}"
                return "GET", path, b""
            case ServiceKind.ORDER:
                service = self._first(ServiceKind.ORDER)
                path = (
                    f"{base}/services/{service}/orders/load-{arrival.at:.6f}-{number}"
                )
                return "POST", path, to_json({"number": number})

    def _first(self, kind: ServiceKind) -> str:
        return next(s.name for s in self._deployment.services if s.kind is kind)


def read_cpu_seconds(program: Program) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{program.process.pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(ticks) for ticks in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_sub_requests(lab: Lab) -> Counter[str]:
    """Return the requests that hosts sent upstream, by reason."""
    total: Counter[str] = Counter()
    for name in lab.host_by_name:
        text = lab.http.get(f"{lab.host_url(name)}/metrics").text
        for reason, value in _SUB_REQUESTS.findall(text):
            total[reason] += int(float(value))
    return total


@dataclass(frozen=True)
class Usage:
    """Hold what the processes have used so far (seconds)."""

    host_cpu: float
    upstream_cpu: float
    sub_requests: Counter


def read_usage(lab: Lab) -> Usage:
    """Return what the processes have used so far."""
    return Usage(
        sum(read_cpu_seconds(p) for p in lab.host_by_name.values()),
        sum(read_cpu_seconds(p) for p in lab.upstreams),
        read_sub_requests(lab),
    )


@dataclass(frozen=True)
class Report:
    """Hold the figures of one run (milliseconds, microseconds, shares)."""

    deployment: str
    hosts: int
    rate: float
    seconds: float
    seed: int
    latency_ms: dict[str, dict[str, float]]
    verdicts: dict[str, int]
    coverage_mean: float
    coverage_least: float
    complete_share: float
    sub_requests: dict[str, int]
    extra_load: float
    host_cpu_us_per_sub_request: float
    upstream_cpu_us_per_sub_request: float


def make_report(
    setup: LabSetup, run: dict[str, float], tally: Tally, before: Usage, after: Usage
) -> Report:
    """Return the report of a run."""
    sent = after.sub_requests - before.sub_requests
    useful = sum(sent[reason] for reason in ("primary", "retry", "hedge"))
    everything = max(1, sum(sent.values()))
    searches = max(1, tally.searches)
    return Report(
        deployment=setup.deployment.name,
        hosts=setup.hosts,
        **run,
        latency_ms={
            kind: {
                f"p{percent:g}": round(h.get_value_at_percentile(percent) / 1000, 2)
                for percent in (50, 99, 99.9)
            }
            for kind, h in sorted(tally.latency_by_kind.items())
        },
        verdicts=dict(sorted(tally.verdicts.items())),
        coverage_mean=round(tally.coverage_sum / searches, 5),
        coverage_least=round(tally.coverage_least, 5),
        complete_share=round(tally.complete / searches, 5),
        sub_requests=dict(sent),
        extra_load=round(useful / max(1, sent["primary"]) - 1, 4),
        host_cpu_us_per_sub_request=round(
            (after.host_cpu - before.host_cpu) / everything * 1e6, 1
        ),
        upstream_cpu_us_per_sub_request=round(
            (after.upstream_cpu - before.upstream_cpu) / everything * 1e6, 1
        ),
    )


def format_report(report: Report) -> str:
    """Return the report as a table."""
    rows = [
        ("deployment", f"{report.deployment}, {report.hosts} hosts"),
        ("rate, seconds, seed", f"{report.rate}/s, {report.seconds}, {report.seed}"),
    ]
    for kind, values in report.latency_ms.items():
        shown = "  ".join(f"{name} {value}" for name, value in values.items())
        rows.append((f"{kind} latency, ms", shown))
    rows += [(f"verdict {name}", str(n)) for name, n in report.verdicts.items()]
    rows += [
        ("coverage mean, least", f"{report.coverage_mean}, {report.coverage_least}"),
        ("complete answers, share", str(report.complete_share)),
        ("sub-requests", json.dumps(report.sub_requests)),
        ("extra load, share", str(report.extra_load)),
        ("host CPU per sub-request, us", str(report.host_cpu_us_per_sub_request)),
        (
            "upstream CPU per sub-request, us",
            str(report.upstream_cpu_us_per_sub_request),
        ),
    ]
    return "\n".join(f"{name:34} {value}" for name, value in rows)


def load_deployment(file: Path) -> Deployment:
    """Return the deployment of a questionnaire; raise ValueError if it is faulty."""
    parsed = parse_questionnaire(file.read_text(encoding="utf-8"))
    if parsed.is_error():
        raise ValueError("\n".join(str(fault) for fault in parsed.error))
    return parsed.ok.deployment


async def measure(lab: Lab, rate: float, seconds: float, seed: int) -> Report:
    """Warm a lab up, run the load and return the report."""
    load = Load(lab)
    await load.run(plan_arrivals(rate, WARM_UP_SECONDS, Mix(), seed + 1))
    load.tally = Tally()
    before = read_usage(lab)
    await load.run(plan_arrivals(rate, seconds, Mix(), seed))
    after = read_usage(lab)
    await load.close()
    run = {"rate": rate, "seconds": seconds, "seed": seed}
    return make_report(lab.setup, run, load.tally, before, after)


@click.command()
@click.argument("questionnaire", type=click.Path(path_type=Path, exists=True))
@click.option("--hosts", default=7, show_default=True)
@click.option("--upstream-processes", default=3, show_default=True)
@click.option("--rate", default=50.0, show_default=True, help="Requests a second.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--one-way-ms", default=4.5, show_default=True)
@click.option("--json", "json_file", type=click.Path(path_type=Path))
def main(
    questionnaire: Path,
    hosts: int,
    upstream_processes: int,
    rate: float,
    seconds: float,
    seed: int,
    one_way_ms: float,
    json_file: Path | None,
) -> None:
    """Measure the deployment of QUESTIONNAIRE on a lab of this machine."""
    deployment = load_deployment(questionnaire)
    model = Model(one_way_ms=one_way_ms)
    setup = LabSetup(deployment, hosts, upstream_processes, model)
    with running_lab(setup) as lab:
        report = anyio.run(
            measure, lab, rate, seconds, seed, backend_options={"use_uvloop": True}
        )
    click.echo(format_report(report))
    if json_file:
        json_file.write_text(json.dumps(asdict(report), indent=2) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
