"""Local cluster: the hosts and simulated services of one deployment as processes."""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import httpx

from crocusbay.protocol import to_json
from crocusbay.protocol.platform import HostList, ListedHost
from crocusbay.state import (
    Deployment,
    IndexStatus,
    ServiceKind,
    Shard,
    Snapshot,
    Upstream,
    UpstreamStatus,
)
from crocusbay.state.keys import config_key, index_key, upstreams_key
from crocusbay.transport.platform import VERSION_HEADER
from crocusbay_standins.simulated_server import SimulationConfig
from crocusbay_standins.upstreams import ServerConfig, UpstreamProcessConfig

DOCUMENTS_PER_SHARD = 400
STOP_TIMEOUT_SECONDS = 20.0
CALL_TIMEOUT_SECONDS = 10.0
READINESS_TIMEOUT_SECONDS = 20.0
READINESS_CHECK_INTERVAL_SECONDS = 0.02
LOG_TAIL_CHARS = 2_000


@dataclass
class ChildProcess:
    """Represent one child process and the addresses that it printed on start-up."""

    name: str
    process: subprocess.Popen
    log_file: Path
    startup_info: dict[str, Any] = field(default_factory=dict)

    def wait_until_started(self) -> None:
        """Wait for the addresses of the process; raise RuntimeError if it has ended."""
        line = self.process.stdout.readline()
        if not line:
            tail = self.log_file.read_text()[-LOG_TAIL_CHARS:]
            raise RuntimeError(
                f"{self.name} ended before it printed its addresses: {tail}"
            )
        self.startup_info = json.loads(line)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Send SIGTERM, wait for the process to end and return its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_SECONDS)


@dataclass(frozen=True)
class LocalClusterConfig:
    """Configure a local cluster; the entry lifetime is in seconds."""

    deployment: Deployment
    hosts: int = 3
    upstream_processes: int = 2
    model: SimulationConfig = SimulationConfig()
    entry_lifetime: float = 2.0
    drain_limit: float = 30.0


class LocalCluster:
    """Run the processes of a local cluster until `close` kills them all."""

    def __init__(self, config: LocalClusterConfig) -> None:
        self.config = config
        self.deployment = config.deployment
        self.platform: ChildProcess
        self.upstreams: list[ChildProcess] = []
        self.host_by_name: dict[str, ChildProcess] = {}
        self.index = IndexStatus()
        self.http = httpx.Client(timeout=CALL_TIMEOUT_SECONDS, trust_env=False)
        self._directory = tempfile.TemporaryDirectory(prefix="crocusbay-lab-")
        self._version_by_key: dict[str, int] = {}

    def start(self) -> None:
        """Start the platform, the upstream servers and the hosts, in this order."""
        self.platform = self._start_process(
            "platform", "-m", "crocusbay_standins.platform"
        )
        for number in range(self.config.upstream_processes):
            self.upstreams.append(self._start_upstream_process(number))
        for child in (self.platform, *self.upstreams):
            child.wait_until_started()
        self.publish_index(make_snapshot(self.deployment, 1))
        self.write_object(upstreams_key(self.deployment.name), self._upstream_status())
        self.write_object(config_key(self.deployment.name), self.deployment)
        for number in range(self.config.hosts):
            self._start_host_process(f"host-{number + 1}", number)
        for child in self.host_by_name.values():
            child.wait_until_started()
        self.publish_hosts()
        for name in self.host_by_name:
            self._wait_until_ready(name)

    def close(self) -> None:
        """Kill every process and delete the temporary files."""
        children = [*self.host_by_name.values(), *self.upstreams]
        children += [self.platform] if hasattr(self, "platform") else []
        for child in children:
            child.kill()
        self.http.close()
        self._directory.cleanup()

    def start_host(self, name: str, number: int) -> ChildProcess:
        """Start one host with up to two others as seeds, and wait for its addresses."""
        child = self._start_host_process(name, number)
        child.wait_until_started()
        return child

    def _wait_until_ready(self, name: str) -> None:
        """Wait until a host has read the configuration; raise TimeoutError if late."""
        timeout_at = time.monotonic() + READINESS_TIMEOUT_SECONDS
        while not self.http.get(f"{self.host_url(name)}/health").is_success:
            if time.monotonic() > timeout_at:
                raise TimeoutError(f"{name} has not read the configuration")
            time.sleep(READINESS_CHECK_INTERVAL_SECONDS)

    def _start_host_process(self, name: str, number: int) -> ChildProcess:
        settings_file = Path(self._directory.name) / f"{name}.ini"
        settings_file.write_text(self._host_settings(name, number))
        code = "from crocusbay_host.main import main; main()"
        self.host_by_name[name] = self._start_process(
            name, "-c", code, str(settings_file)
        )
        return self.host_by_name[name]

    def host_url(self, name: str) -> str:
        """Return the base URL of a host."""
        return f"http://{self.host_by_name[name].startup_info['caller_address']}"

    def publish_hosts(self) -> None:
        """Publish the running hosts in the platform's host list."""
        hosts = [
            ListedHost(
                name,
                self._place(index),
                child.startup_info["caller_address"],
                child.startup_info["peer_address"],
            )
            for index, (name, child) in enumerate(self.host_by_name.items())
        ]
        self.call_control(self.platform, "hosts", HostList(tuple(hosts)))

    def publish_index(self, snapshot: Snapshot, keep: int = 2) -> None:
        """Install and publish a snapshot, and retire all but the last `keep`."""
        extended = IndexStatus((*self.index.snapshots, snapshot))
        self.index = IndexStatus(extended.snapshots[-keep:])
        self.install_index(extended)
        self.write_object(index_key(self.deployment.name), self.index)
        self.install_index(self.index)

    def install_index(self, index: IndexStatus) -> None:
        """Make every server hold exactly these snapshots."""
        for child in self.upstreams:
            self.call_control(child, "index", index)

    def write_object(self, key: str, value: Any) -> None:
        """Write an object to the platform, and remember its version."""
        url = f"http://{self.platform.startup_info['address']}/objects/{key}"
        headers = {VERSION_HEADER: str(self._version_by_key.get(key, 0))}
        response = self.http.put(url, content=to_json(value), headers=headers)
        response.raise_for_status()
        self._version_by_key[key] = response.json()["version"]

    def call_control(
        self, child: ChildProcess, endpoint: str, value: Any = None
    ) -> Any:
        """Call the control API of a simulated service and return its JSON response."""
        address = child.startup_info.get("control") or child.startup_info["address"]
        body = b"" if value is None else to_json(value)
        response = self.http.post(f"http://{address}/control/{endpoint}", content=body)
        response.raise_for_status()
        return response.json()

    def call_control_on_upstreams(
        self, endpoint: str, value: Any = None
    ) -> dict[str, Any]:
        """Call the control API of every upstream process and merge the responses."""
        merged: dict[str, Any] = {}
        for child in self.upstreams:
            merged.update(self.call_control(child, endpoint, value) or {})
        return merged

    def _start_process(self, name: str, *arguments: str) -> ChildProcess:
        log_file = Path(self._directory.name) / f"{name}.log"
        with log_file.open("ab") as log_stream:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.PIPE,
                stderr=log_stream,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        return ChildProcess(name, process, log_file)

    def _start_upstream_process(self, number: int) -> ChildProcess:
        server_configs = plan_servers(self.deployment)
        own_servers = server_configs[number :: self.config.upstream_processes]
        process_config = UpstreamProcessConfig(
            f"upstreams-{number + 1}", self.config.model, tuple(own_servers)
        )
        config_file = Path(self._directory.name) / f"{process_config.process}.json"
        config_file.write_bytes(to_json(process_config))
        return self._start_process(
            process_config.process,
            "-m",
            "crocusbay_standins.upstreams",
            str(config_file),
        )

    def _upstream_status(self) -> UpstreamStatus:
        upstreams = [u for p in self.upstreams for u in p.startup_info["upstreams"]]
        return UpstreamStatus(tuple(Upstream(**each) for each in upstreams))

    def publish_leaving_upstreams(self, *names: str) -> None:
        """Publish an upstream status in which the named servers are leaving."""
        upstreams = [
            replace(each, is_leaving=each.name in names)
            for each in self._upstream_status().upstreams
        ]
        status = UpstreamStatus(tuple(upstreams))
        self.write_object(upstreams_key(self.deployment.name), status)

    def _place(self, number: int) -> str:
        return self.deployment.places[number % len(self.deployment.places)]

    def _host_settings(self, name: str, number: int) -> str:
        startup_infos = [
            p.startup_info for p in self.host_by_name.values() if p.startup_info
        ]
        seeds = [info["peer_address"] for info in startup_infos]
        return (
            f"[host]\nname = {name}\nplace = {self._place(number)}\n"
            f"[callers]\naddress = 127.0.0.1:0\n"
            f"entry_lifetime = {self.config.entry_lifetime}\n"
            f"drain_limit = {self.config.drain_limit}\n"
            f"[peers]\naddress = 127.0.0.1:0\nseeds = {', '.join(seeds[:2])}\n"
            f"[platform]\naddress = {self.platform.startup_info['address']}\n"
        )


def plan_servers(deployment: Deployment) -> list[ServerConfig]:
    """Return every server of the deployment, spread evenly over its places."""
    server_configs = []
    for offset, service in enumerate(deployment.services):
        for number in range(service.servers):
            place = deployment.places[(offset + number) % len(deployment.places)]
            name = f"{service.name}.{number + 1}"
            upstream = Upstream(name, service.name, place, "127.0.0.1:0")
            server_configs.append(ServerConfig(upstream, service))
    return server_configs


def make_snapshot(deployment: Deployment, version: int) -> Snapshot:
    """Return a snapshot with one shard in each search service."""
    search_services = [s for s in deployment.services if s.kind is ServiceKind.SEARCH]
    shards = [
        Shard(f"{s.name}/{version}", s.name, DOCUMENTS_PER_SHARD)
        for s in search_services
    ]
    return Snapshot(version, tuple(shards))


@contextmanager
def run_local_cluster(config: LocalClusterConfig) -> Iterator[LocalCluster]:
    """Run a local cluster for the duration of the context."""
    cluster = LocalCluster(config)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()
