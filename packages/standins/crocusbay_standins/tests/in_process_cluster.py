import itertools
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio

from crocusbay.coordination import (
    Context,
    DeploymentRuntime,
    DocumentQuery,
    Metrics,
    OrderCoordinator,
    OrderRequest,
    Quarantine,
    Search,
    SearchQuery,
    fetch_document,
)
from crocusbay.state import (
    Deployment,
    HybridClock,
    IndexStatus,
    Policy,
    Service,
    ServiceKind,
    Shard,
    Snapshot,
    Timeline,
    Upstream,
    UpstreamStatus,
)
from crocusbay.transport import PlatformClient, TimerService, open_listener, serve
from crocusbay_standins.http_app import make_app
from crocusbay_standins.platform import SimulatedPlatform
from crocusbay_standins.simulated_server import (
    ServerFaults,
    SimulatedServer,
    SimulationConfig,
)
from crocusbay_standins.upstreams import ListeningServer

NO_NETWORK_DELAY_MODEL = SimulationConfig(
    service_ms=1.0, straggler_share=0.0, one_way_ms=0.0, jitter_ms=0.0
)


def make_deployment(search_services=4, deadline=5.0, **policy):
    values = {
        "deadline": deadline,
        "hedge_ratio": 0.05,
        "hedge_floor": 0.01,
        "retry_ratio": 0.1,
        "concurrent_requests": 40,
    }
    services = [
        Service(f"catalogue-{n}", ServiceKind.SEARCH, 2, 2, 25, 0.0)
        for n in range(1, search_services + 1)
    ]
    services += [
        Service("price", ServiceKind.DOCUMENT, 3, 6, 100, 0.0),
        Service("orders", ServiceKind.ORDER, 3, 6, 100, 0.0),
    ]
    places = ("sofia-1", "sofia-2", "sofia-3")
    policy = Policy(**{**values, **policy})
    return Deployment("hemtape", places, 3, policy, tuple(services))


def make_snapshot(deployment, version, service_offset=0):
    search_services = [s for s in deployment.services if s.kind is ServiceKind.SEARCH]
    shards = [
        Shard(
            f"shard-{number}",
            search_services[(number + service_offset) % len(search_services)].name,
            10,
        )
        for number in range(len(search_services))
    ]
    return Snapshot(version, tuple(shards))


class InProcessCluster:
    """Run upstream servers, a platform and one host's coordination in one process."""

    def __init__(self, deployment, model):
        self.deployment = deployment
        self.clock = HybridClock()
        self.timers = TimerService()
        self.timeline = Timeline("host-1", self.clock)
        self.metrics = Metrics()
        self.context = Context(
            "host-1", "sofia-1", self.clock, self.timers, self.timeline, self.metrics
        )
        self.quarantine = Quarantine(self.timers.now)
        self.platform = SimulatedPlatform(self.clock)
        self.servers = {}
        self.index = IndexStatus()
        self._model = model
        self._request_numbers = itertools.count()

    async def start(self, tasks):
        self.tasks = tasks
        tasks.start_soon(self.timers.run)
        for service in self.deployment.services:
            for number in range(1, service.servers + 1):
                await self._start_server(service, number)
        listener, address = open_listener("127.0.0.1:0")
        app = make_app(self.platform.handle, self.clock)
        tasks.start_soon(serve, app, listener, anyio.sleep_forever, 0.0)
        self.client = PlatformClient(address, self.clock)
        self.runtime = DeploymentRuntime(self.deployment, self.context, tasks)
        self.publish_upstreams()
        self.install_snapshots(make_snapshot(self.deployment, 1))
        self.order_coordinator = OrderCoordinator(self.client, self.context, tasks)

    async def _start_server(self, service, number):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        name = f"{service.name}.{number}"
        upstream = Upstream(name, service.name, "sofia-1", f"127.0.0.1:{port}")
        simulation = SimulatedServer(upstream, service, self._model, self.timeline)
        self.servers[name] = ListeningServer(simulation, self.clock)
        self.tasks.start_soon(self.servers[name].run, listener)

    def publish_upstreams(self, leaving=()):
        upstreams = [
            replace(s.simulation.upstream, is_leaving=name in leaving)
            for name, s in self.servers.items()
        ]
        self.runtime.set_upstreams(UpstreamStatus(tuple(upstreams)))

    def install_snapshots(self, *snapshots, publish=True, at=None):
        index = IndexStatus(snapshots)
        for name, server in self.servers.items():
            if at is None or name in at:
                server.simulation.index = index
        if publish:
            self.index = index
            self.runtime.set_index(index)

    def set_faults(self, *names, **faults):
        for name in names:
            self.servers[name].simulation.faults = ServerFaults(**faults)

    def server_names(self, service):
        return [name for name in self.servers if name.startswith(service + ".")]

    def sum_counts(self, key, *names):
        selected = names or self.servers
        return sum(self.servers[name].simulation.counts[key] for name in selected)

    def order_run_count(self, order):
        return sum(s.simulation.runs_by_order[order] for s in self.servers.values())

    async def search(self, query="tape", seconds=None):
        seconds = seconds or self.deployment.policy.deadline
        deadline = self.timers.now() + seconds
        request = f"request-{next(self._request_numbers)}"
        search_query = SearchQuery(request, query, deadline)
        return await Search(self.runtime, self.quarantine, search_query).run()

    async def fetch_document(self, document="d1", seconds=5.0):
        query = DocumentQuery(
            f"request-{next(self._request_numbers)}",
            "price",
            document,
            self.timers.now() + seconds,
        )
        return await fetch_document(self.runtime, self.quarantine, query)

    async def send_order(
        self, order="o1", seconds=5.0, body=b'{"tanks":1}', coordinator=None
    ):
        order_request = OrderRequest(
            f"request-{order}", "orders", order, body, self.timers.now() + seconds
        )
        return await (coordinator or self.order_coordinator).run(
            self.runtime, order_request
        )

    def set_platform_faults(self, **faults):
        self.platform.faults = replace(self.platform.faults, **faults)


@asynccontextmanager
async def run_in_process_cluster(model=NO_NETWORK_DELAY_MODEL, **deployment):
    cluster = InProcessCluster(make_deployment(**deployment), model)
    async with anyio.create_task_group() as tasks:
        await cluster.start(tasks)
        with anyio.fail_after(60):
            yield cluster
        tasks.cancel_scope.cancel()


async def wait_until(condition, seconds=10.0):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.005)
