"""Hosts of a soak: processes, each on its own loopback address."""

import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from crocusbay_gateway.state import Bounds, GatewaySettings
from crocusbay_platform.names import SETTINGS_VARIABLE
from crocusbay_platform.settings import encode_settings
from crocusbay_standins.soak.proxy import Proxy
from crocusbay_standins.soak.store import SERVER_LEASE_SECONDS
from crocusbay_standins.soak.versions import package_paths

BOUNDS = Bounds(
    drain_time=3.0,
    shutdown_timeout=4.0,
    configuration_apply_time=3.0,
    retry_budget_ratio=0.2,
    retry_budget_burst=60.0,
    retry_budget_window=10.0,
    entry_lifetime=2.0,
    server_lease=SERVER_LEASE_SECONDS,
)
SEED_HOSTS = 2
HOST_PROGRAM = "from crocusbay_platform.main import main; main({metrics_port})"


def find_free_port(ips: list[str]) -> int:
    """Return a port that is free on every address, for both TCP and UDP."""
    while True:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if all(_is_free(ip, port) for ip in ips):
            return port


def find_free_ports(ips: list[str], count: int) -> list[int]:
    """Return different ports, each of them free on every address."""
    ports: list[int] = []
    while len(ports) < count:
        port = find_free_port(ips)
        if port not in ports:
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


@dataclass
class SoakHost:
    """Host of a soak, with the proxy between it and the store."""

    settings: GatewaySettings
    folder: Path
    store_proxy: Proxy
    is_paused: bool = False
    # Times of the loop (seconds).
    start_times: list[float] = field(default_factory=list)
    # Folder with the packages of another version to run; None for this one.
    version_folder: Path | None = None

    @property
    def name(self) -> str:
        """Return the name in the settings of the host."""
        return self.settings.name

    @property
    def log(self) -> str:
        """Return what the host has logged since its first start."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    @property
    def is_running(self) -> bool:
        """Return whether the host has been started and has not ended."""
        raise NotImplementedError

    def start(self) -> None:
        """Start the host; do nothing if it is running."""
        raise NotImplementedError

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this host only."""
        raise NotImplementedError

    def kill(self) -> None:
        """Kill the host if it is running."""
        raise NotImplementedError


@dataclass
class ProcessHost(SoakHost):
    """Run a host in its own process, appending its log to a file."""

    process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process; do nothing if it is running."""
        if self.is_running:
            # Overlapping faults each restart the host.
            return
        self.start_times.append(time.monotonic())
        path = self.folder / f"{self.name}.toml"
        path.write_bytes(encode_settings(self.settings))
        program = HOST_PROGRAM.format(metrics_port=self.settings.metrics_port)
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-c", program],
            env={
                **os.environ,
                SETTINGS_VARIABLE: str(path),
                **self._version_variables(),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.is_paused = False

    def _version_variables(self) -> dict[str, str]:
        if self.version_folder is None:
            return {}
        return {"PYTHONPATH": os.pathsep.join(package_paths(self.version_folder))}

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)
            self.is_paused = number == signal.SIGSTOP or (
                self.is_paused and number != signal.SIGCONT
            )

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self.is_running:
            self.process.kill()
            self.process.wait()


def make_hosts(
    host_type: type[SoakHost],
    count: int,
    data_centres: list[str],
    folder: Path,
    proxies: list[Proxy],
    third_octet: int,
) -> list[SoakHost]:
    """Return hosts that all use the same port numbers, as on the platform."""
    ips = [f"127.77.{third_octet}.{number + 1}" for number in range(count)]
    caller_port, readiness_port, entry_port, peer_port, metrics_port = find_free_ports(
        ips, 5
    )
    return [
        host_type(
            GatewaySettings(
                name=f"host-{number}",
                data_centre=data_centres[number % len(data_centres)],
                region="r",
                ip=ip,
                caller_address=f"{ip}:{caller_port}",
                readiness_address=f"{ip}:{readiness_port}",
                entry_address=f"{ip}:{entry_port}",
                peer_port=peer_port,
                metrics_port=metrics_port,
                seed_ips=tuple(ips[:SEED_HOSTS]),
                store_address=proxy.address,
                cores=1.0,
                link_mbps=1000.0,
                bounds=BOUNDS,
            ),
            folder,
            proxy,
        )
        for number, (ip, proxy) in enumerate(zip(ips, proxies, strict=True))
    ]
