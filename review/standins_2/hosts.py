"""Host processes, started with the command of the deploy file."""

import asyncio
import os
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from standins_2.messages import encode, read_message

ROOT = Path(__file__).resolve().parent.parent.parent
BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "stable-window-ms": 4000,
    "ack-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 12000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-extra": 54,
    "recovery-s": 12,
    "ttl_max_s": 5,
}


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on every address, for TCP and UDP."""
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
    """One host process, with its settings in a temporary folder."""

    def __init__(
        self,
        name: str,
        ip: str,
        ports: list[int],
        seeds: list[str],
        store_address: str,
        zone: str,
        folder: Path,
    ) -> None:
        self.name = name
        self.ip = ip
        front, ready, directory, control, internal = ports
        self.address = f"{ip}:{front}"
        self.ready_address = f"{ip}:{ready}"
        self.log_path = folder / f"{name}.log"
        self.started_at = 0.0
        self.killed_at: list[float] = []
        self._settings_path = folder / f"{name}.toml"
        bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
        seed_list = ", ".join(f'"{seed}:{control}"' for seed in seeds)
        self._settings_path.write_text(
            f"""node = "{name}"
role = "gateway"
machine-class = "front"
serves = ["front", "control", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [{internal}, {internal}]
seeds = [{seed_list}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
control = "{ip}:{control}"
[limits]
cpu-share = 1.0
cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
[bounds]
{bounds}
[platform]
address = "{store_address}"
form = "objects"
"""
        )
        self._process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        passed = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    **passed,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CROCUSBAY_SETTINGS": str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self.killed_at.append(time.monotonic())

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text(errors="replace")

    async def wait_ready(self, timeout: float = 15.0) -> None:
        """Wait until the readiness page returns 200; raise TimeoutError."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Return whether the readiness page returns 200."""
        ip, port = self.ready_address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        try:
            writer.write(encode("GET /readiness HTTP/1.1", {"Host": "ready"}))
            return (await asyncio.wait_for(read_message(reader), 1)).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


def make_hosts(
    count: int,
    store_addresses: list[str],
    zones: list[str],
    network: str = "127.61.7",
) -> tuple[list[Host], tempfile.TemporaryDirectory]:
    """Return hosts on loopback addresses of their own, and their folder."""
    folder = tempfile.TemporaryDirectory(prefix="review-")
    ips = [f"{network}.{number + 1}" for number in range(count)]
    ports = free_ports(ips, 5)
    hosts = [
        Host(
            f"host-{number + 1}",
            ip,
            ports,
            ips[:3],
            store_addresses[number],
            zones[number % len(zones)],
            Path(folder.name),
        )
        for number, ip in enumerate(ips)
    ]
    return hosts, folder
