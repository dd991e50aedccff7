"""Slopes: what an idle host costs by hosts and servers, and what messages weigh."""

import re
import time
from dataclasses import dataclass, replace
from pathlib import Path

import click

from crocusbay.protocol import from_pack, to_json, to_pack
from crocusbay.protocol.peer import Heartbeat, PeerMessage
from crocusbay.state import Deployment, Load, Member, Stamp
from crocusbay_standins.lab import Lab, LabSetup, Program, plan_servers, running_lab
from crocusbay_standins.load import load_deployment
from crocusbay_standins.report import read_cpu_seconds

SETTLE_SECONDS = 8.0
IDLE_SECONDS = 15.0
CODEC_ROUNDS = 2_000
MEMBER_COUNTS = (1, 7, 50, 500)
_PEER_BYTES = re.compile(r"^crocusbay_peer_bytes_total (\S+)$", re.MULTILINE)


def read_memory_mb(program: Program) -> float:
    """Return the resident memory of a process (megabytes)."""
    text = Path(f"/proc/{program.process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


@dataclass(frozen=True)
class Idle:
    """Hold what an idle host takes (share of a core, megabytes, bytes a second)."""

    core_share: float
    memory_mb: float
    peer_bytes: float

    def __str__(self) -> str:
        return (
            f"{self.core_share:.2%} of a core, {self.memory_mb:.1f} MB, "
            f"{self.peer_bytes:.0f} bytes/s to peers"
        )


def measure_idle(deployment: Deployment, hosts: int) -> Idle:
    """Return what an idle host takes."""
    with running_lab(LabSetup(deployment, hosts, 2)) as lab:
        time.sleep(SETTLE_SECONDS)
        programs = list(lab.host_by_name.values())
        cpu = -sum(read_cpu_seconds(program) for program in programs)
        sent = -read_peer_bytes(lab)
        time.sleep(IDLE_SECONDS)
        cpu += sum(read_cpu_seconds(program) for program in programs)
        sent += read_peer_bytes(lab)
        memory = max(read_memory_mb(program) for program in programs)
    each = IDLE_SECONDS * hosts
    return Idle(cpu / each, memory, sent / each)


def read_peer_bytes(lab: Lab) -> float:
    """Return the bytes that all hosts sent to each other."""
    texts = [lab.http.get(f"{lab.host_url(n)}/metrics").text for n in lab.host_by_name]
    return sum(float(_PEER_BYTES.search(text).group(1)) for text in texts)


def multiply_services(deployment: Deployment, factor: int) -> Deployment:
    """Return a deployment with each service several times."""
    services = [
        replace(service, name=f"{service.name}.x{number}")
        for service in deployment.services
        for number in range(factor)
    ]
    return replace(deployment, services=tuple(services))


def measure_heartbeat(members: int) -> tuple[int, float]:
    """Return the bytes of a heartbeat, and the microseconds to write and read it."""
    member = Member(
        "host-1234",
        "trebic",
        "10.1.2.3:8000",
        "10.1.2.3:8001",
        time.time_ns(),
        99_999,
        load=Load(12, 40),
    )
    beat = Heartbeat(member, Stamp(time.time_ns() // 1000), (member,) * members)
    started = time.process_time()
    for _ in range(CODEC_ROUNDS):
        from_pack(to_pack(beat), PeerMessage)
    spent = time.process_time() - started
    return len(to_pack(beat)), spent / CODEC_ROUNDS * 1e6


@click.command()
@click.argument("questionnaire", type=click.Path(path_type=Path, exists=True))
def main(questionnaire: Path) -> None:
    """Measure the slopes that docs/CAPACITY.md rests on."""
    deployment = load_deployment(questionnaire)
    for members in MEMBER_COUNTS:
        size, micros = measure_heartbeat(members)
        click.echo(f"heartbeat, {members} members: {size} bytes, {micros:.0f} us")
    click.echo(f"configuration: {len(to_json(deployment))} bytes")
    for hosts in (1, 3, 7):
        click.echo(f"{hosts} hosts, each: {measure_idle(deployment, hosts)}")
    for factor in (1, 2, 4):
        grown = multiply_services(deployment, factor)
        servers = len(plan_servers(grown))
        click.echo(f"{servers} servers: {measure_idle(grown, 1)}")


if __name__ == "__main__":
    main()
