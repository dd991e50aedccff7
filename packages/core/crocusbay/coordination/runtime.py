"""Runtime state of one deployment on this host."""

from dataclasses import replace

import anyio

from crocusbay.coordination.context import Context
from crocusbay.coordination.retry_budget import RetryBudget
from crocusbay.coordination.server import Server
from crocusbay.state import (
    Deployment,
    EventKind,
    IndexStatus,
    Service,
    Snapshot,
    Upstream,
    UpstreamStatus,
)

BUDGET_BURST = 50.0
# Reserved for connections that a host has closed but the server has not yet released.
RESERVED_CONNECTION_RATIO = 0.1
CANARY_RATIO = 0.005
CANARY_BURST = 100.0
SNAPSHOT_MISSING_SECONDS = 0.25


class DeploymentRuntime:
    """Apply a deployment's configuration and status, and choose its servers."""

    def __init__(
        self, deployment: Deployment, context: Context, tasks: anyio.abc.TaskGroup
    ) -> None:
        self.context = context
        self.config = deployment
        self.index = IndexStatus()
        self.servers_by_name: dict[str, Server] = {}
        self.servers_by_service: dict[str, list[Server]] = {}
        self.hedge_budget = RetryBudget(deployment.policy.hedge_ratio, BUDGET_BURST)
        self.retry_budget = RetryBudget(deployment.policy.retry_ratio, BUDGET_BURST)
        self.canary_budget = RetryBudget(CANARY_RATIO, CANARY_BURST)
        self._missing_until_by_version: dict[int, float] = {}
        self._upstream_status = UpstreamStatus()
        self._host_count = 1
        self._tasks = tasks

    @property
    def name(self) -> str:
        """Return the deployment's name."""
        return self.config.name

    def set_config(self, deployment: Deployment) -> None:
        """Apply a configuration."""
        self.config = deployment
        self.hedge_budget.ratio = deployment.policy.hedge_ratio
        self.retry_budget.ratio = deployment.policy.retry_ratio
        self._update_servers()

    def set_index(self, index: IndexStatus) -> None:
        """Replace the list of snapshots."""
        self.index = index

    def set_upstreams(self, status: UpstreamStatus) -> None:
        """Replace the list of servers."""
        self._upstream_status = status
        self._update_servers()

    def set_host_count(self, hosts: int) -> None:
        """Divide connection limits by the number of hosts, observed or configured.

        A starting host knows no others yet, so the configured number is the minimum.
        """
        if hosts == self._host_count:
            return
        self._host_count = hosts
        for server in self.servers_by_name.values():
            server.pool.set_connection_limit(self._connection_limit(server.service))

    def select_snapshot(self) -> Snapshot | None:
        """Return the newest snapshot not reported missing by a server recently."""
        now = self.context.timers.now()
        available = [
            snapshot
            for snapshot in self.index.snapshots
            if self._missing_until_by_version.get(snapshot.version, 0.0) <= now
        ]
        newest = max(available, key=lambda each: each.version, default=None)
        return newest or self.index.newest

    def mark_snapshot_missing(self, version: int) -> None:
        """Exclude a snapshot that a server lacks from new searches for a short time."""
        until = self.context.timers.now() + SNAPSHOT_MISSING_SECONDS
        self._missing_until_by_version[version] = until

    def choose_server(self, service: str, exclude: frozenset[str]) -> Server | None:
        """Return the server with the lowest score, or None if none is eligible.

        Backed-off servers are eligible only if no other is up and they are idle.
        """
        servers = [
            server
            for server in self.servers_by_service.get(service, ())
            if server.upstream.name not in exclude and not server.is_draining
        ]
        up = [server for server in servers if server.is_up]
        if up:
            return min(up, key=lambda server: server.score)
        backed_off = [server for server in servers if server.in_flight == 0]
        return min(backed_off, key=lambda server: server.score, default=None)

    def has_server(self, service: str) -> bool:
        """Return whether any server of the service accepts new requests."""
        servers = self.servers_by_service.get(service, ())
        return any(not server.is_draining for server in servers)

    def close_silent_connections(self, since: float) -> None:
        """Close the connections to any server whose last response precedes `since`."""
        for server in self.servers_by_name.values():
            server.pool.close_silent(since)

    def count_requests(self, reason: str, requests: int = 1) -> None:
        """Count requests to upstreams, by reason."""
        self.context.metrics.sub_requests.labels(self.name, reason).inc(requests)

    def _connection_limit(self, service: Service) -> int:
        hosts = max(self._host_count, self.config.hosts)
        usable = int(service.connections * (1.0 - RESERVED_CONNECTION_RATIO))
        return max(1, usable // hosts)

    def _update_servers(self) -> None:
        listed = {
            upstream.name: upstream
            for upstream in self._upstream_status.upstreams
            if upstream.service in self.config.by_service
        }
        for name in list(self.servers_by_name):
            if not self._is_same_server(name, listed.get(name)):
                self._remove_server(name)
        for name, upstream in listed.items():
            if name in self.servers_by_name:
                self._update_server(self.servers_by_name[name], upstream)
            else:
                self._add_server(upstream)
        grouped: dict[str, list[Server]] = {}
        for server in self.servers_by_name.values():
            grouped.setdefault(server.upstream.service, []).append(server)
        self.servers_by_service = grouped

    def _is_same_server(self, name: str, upstream: Upstream | None) -> bool:
        if upstream is None:
            return False
        current = self.servers_by_name[name].upstream
        return current == replace(upstream, is_leaving=current.is_leaving)

    def _update_server(self, server: Server, upstream: Upstream) -> None:
        if upstream.is_leaving and not server.upstream.is_leaving:
            self.context.timeline.record(
                EventKind.UPSTREAM_LEAVING,
                deployment=self.name,
                detail=upstream.name,
            )
        server.upstream = upstream
        server.service = self.config.by_service[upstream.service]
        server.pool.set_connection_limit(self._connection_limit(server.service))

    def _add_server(self, upstream: Upstream) -> None:
        service = self.config.by_service[upstream.service]
        server = Server(
            upstream, service, self._connection_limit(service), self.context
        )
        self.servers_by_name[upstream.name] = server
        self._tasks.start_soon(server.pool.run)

    def _remove_server(self, name: str) -> None:
        server = self.servers_by_name.pop(name)
        server.pool.close()
