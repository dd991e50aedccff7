"""Resource use of an idle host by cluster size, and sizes of messages."""

import re
import time
from dataclasses import dataclass, replace
from pathlib import Path

import click

from crocusbay.protocol import from_msgpack, to_json, to_msgpack
from crocusbay.protocol.peer import Heartbeat, PeerMessage
from crocusbay.state import Deployment, Load, Member, Stamp
from crocusbay_standins.load import load_deployment
from crocusbay_standins.local_cluster import (
    ChildProcess,
    LocalCluster,
    LocalClusterConfig,
    plan_servers,
    run_local_cluster,
)
from crocusbay_standins.report import read_cpu_seconds

SETTLE_SECONDS = 8.0
IDLE_SECONDS = 15.0
CODEC_ROUNDS = 2_000
MEMBER_COUNTS = (1, 7, 50, 500)
_PEER_BYTES = re.compile(r"^crocusbay_peer_bytes_total (\S+)$", re.MULTILINE)


def read_memory_mb(child: ChildProcess) -> float:
    """Return the resident memory of a process (megabytes)."""
    text = Path(f"/proc/{child.process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


@dataclass(frozen=True)
class IdleUsage:
    """Represent the usage of one idle host; `peer_bytes` is bytes per second."""

    core_share: float
    memory_mb: float
    peer_bytes_per_second: float

    def __str__(self) -> str:
        return (
            f"{self.core_share:.2%} of a core, {self.memory_mb:.1f} MB, "
            f"{self.peer_bytes_per_second:.0f} bytes/s to peers"
        )


def measure_idle_usage(deployment: Deployment, hosts: int) -> IdleUsage:
    """Return the resource use of one host, averaged over an idle cluster."""
    with run_local_cluster(LocalClusterConfig(deployment, hosts, 2)) as cluster:
        time.sleep(SETTLE_SECONDS)
        children = list(cluster.host_by_name.values())
        cpu = -sum(read_cpu_seconds(child) for child in children)
        sent = -read_peer_bytes(cluster)
        time.sleep(IDLE_SECONDS)
        cpu += sum(read_cpu_seconds(child) for child in children)
        sent += read_peer_bytes(cluster)
        memory = max(read_memory_mb(child) for child in children)
    host_seconds = IDLE_SECONDS * hosts
    return IdleUsage(cpu / host_seconds, memory, sent / host_seconds)


def read_peer_bytes(cluster: LocalCluster) -> float:
    """Return the number of bytes that all hosts have sent to their peers."""
    texts = [
        cluster.http.get(f"{cluster.host_url(n)}/metrics").text
        for n in cluster.host_by_name
    ]
    return sum(float(_PEER_BYTES.search(text).group(1)) for text in texts)


def replicate_services(deployment: Deployment, factor: int) -> Deployment:
    """Return a deployment in which each service is repeated `factor` times."""
    services = [
        replace(service, name=f"{service.name}.x{number}")
        for service in deployment.services
        for number in range(factor)
    ]
    return replace(deployment, services=tuple(services))


def measure_heartbeat(members: int) -> tuple[int, float]:
    """Return a heartbeat's size in bytes and its codec CPU time in microseconds."""
    member = Member(
        "host-1234",
        "trebic",
        "10.1.2.3:8000",
        "10.1.2.3:8001",
        time.time_ns(),
        99_999,
        load=Load(12, 40),
    )
    heartbeat = Heartbeat(member, Stamp(time.time_ns() // 1000), (member,) * members)
    started = time.process_time()
    for _ in range(CODEC_ROUNDS):
        from_msgpack(to_msgpack(heartbeat), PeerMessage)
    cpu_seconds = time.process_time() - started
    return len(to_msgpack(heartbeat)), cpu_seconds / CODEC_ROUNDS * 1e6


@click.command()
@click.argument("questionnaire", type=click.Path(path_type=Path, exists=True))
def main(questionnaire: Path) -> None:
    """Measure the resource costs on which docs/CAPACITY.md is based."""
    deployment = load_deployment(questionnaire)
    for members in MEMBER_COUNTS:
        size, codec_us = measure_heartbeat(members)
        click.echo(f"heartbeat, {members} members: {size} bytes, {codec_us:.0f} us")
    click.echo(f"configuration: {len(to_json(deployment))} bytes")
    for hosts in (1, 3, 7):
        click.echo(f"{hosts} hosts, each: {measure_idle_usage(deployment, hosts)}")
    for factor in (1, 2, 4):
        replicated = replicate_services(deployment, factor)
        servers = len(plan_servers(replicated))
        click.echo(f"{servers} servers: {measure_idle_usage(replicated, 1)}")


if __name__ == "__main__":
    main()
