"""Host processes, started with the command of the deploy file."""

import asyncio
import os
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """\
node = "{name}"
role = "gateway"
machine-class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internal-ports = [{peer},{peer_last}]
seeds = [{seeds}]
bootstrap = true
counts-toward-loss = false
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu-share = 1.0
cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-window-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 3000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-stretch-ms = 12000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 54
recovery-s = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"""


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses, for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Host:
    """One process of the system."""

    def __init__(
        self, name: str, ip: str, zone: str, settings: str, folder: Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self._settings = settings
        self._folder = folder
        self.process: subprocess.Popen | None = None
        listen = tomllib.loads(settings)["listen"]
        self.front = listen["front"]
        self.ready = listen["ready"]
        self.directory = listen["directory"]

    @property
    def log_path(self) -> Path:
        """Return the file with the host's output."""
        return self._folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        path = self._folder / f"{self.name}.toml"
        path.write_text(self._settings)
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["gateway"]["run"]),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CROCUSBAY_SETTINGS": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Return whether the host answers 200 to the platform's check in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        ip, port = self.ready.split(":")
        while loop.time() < end:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


def make_hosts(zone_by_name: dict[str, str], store: str, folder: Path) -> list[Host]:
    """Return hosts with addresses of their own and the same ports."""
    octet = os.getpid() % 250 + 1
    ips = [f"127.91.{octet}.{number + 1}" for number in range(len(zone_by_name))]
    front, ready, control, directory, peer = free_ports(ips, 5)
    zones = "\n".join(f'{zone} = "region"' for zone in sorted({*zone_by_name.values()}))
    seeds = ",".join(f'"{ip}:{control}"' for ip in ips[:3])
    return [
        Host(
            name,
            ip,
            zone,
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                zones=zones,
                seeds=seeds,
                store=store,
                front=front,
                ready=ready,
                control=control,
                directory=directory,
                peer=peer,
                peer_last=peer,
            ),
            folder,
        )
        for (name, zone), ip in zip(zone_by_name.items(), ips, strict=True)
    ]
