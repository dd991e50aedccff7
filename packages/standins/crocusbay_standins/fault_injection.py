"""Faults that the load test can inject into a running local cluster."""

from collections.abc import Callable
from functools import partial

from crocusbay_standins.local_cluster import LocalCluster, make_snapshot
from crocusbay_standins.platform import Outage, PlatformFaults
from crocusbay_standins.simulated_server import ServerFaults
from crocusbay_standins.upstreams import FaultCommand, SilenceCommand

SLOW_REPLICA_DELAY_MS = 100.0


def _inject_nothing(cluster: LocalCluster) -> None:
    """Inject no fault."""


def _silence_connections(cluster: LocalCluster) -> None:
    """Make upstream servers stop answering on their open connections for good."""
    cluster.call_control_on_upstreams("silence", SilenceCommand())


def _kill_upstreams(cluster: LocalCluster) -> None:
    """Kill one upstream process, which simulates the loss of a rack."""
    cluster.upstreams.pop().kill()


def _kill_host(cluster: LocalCluster) -> None:
    """Kill the host that was started last."""
    cluster.host_by_name.popitem()[1].kill()


def _publish_repartitioned_index(cluster: LocalCluster) -> None:
    """Publish a snapshot with other shards and retire the old one at once."""
    cluster.publish_index(make_snapshot(cluster.deployment, 2), keep=1)


def _slow_first_servers(cluster: LocalCluster) -> None:
    """Delay the responses of the first server of each service."""
    names = [f"{service.name}.1" for service in cluster.deployment.services]
    command = FaultCommand(ServerFaults(late_ms=SLOW_REPLICA_DELAY_MS), tuple(names))
    cluster.call_control_on_upstreams("faults", command)


def _drain_first_servers(cluster: LocalCluster) -> None:
    """Drain the first server of each service without telling the platform."""
    names = [f"{service.name}.1" for service in cluster.deployment.services]
    command = FaultCommand(ServerFaults(is_draining=True), tuple(names))
    cluster.call_control_on_upstreams("faults", command)


def _crash_on_query(cluster: LocalCluster) -> None:
    """Make every server crash on searches for one query."""
    # The closing quote of the repr keeps longer query numbers from matching.
    command = FaultCommand(ServerFaults(crash_on="query-250'"))
    cluster.call_control_on_upstreams("faults", command)


def _fail_platform(cluster: LocalCluster, outage: Outage) -> None:
    """Make the platform unavailable."""
    cluster.call_control(cluster.platform, "faults", PlatformFaults(outage=outage))


FAULT_INJECTOR_BY_NAME: dict[str, Callable[[LocalCluster], None]] = {
    "none": _inject_nothing,
    "silence": _silence_connections,
    "kill-upstreams": _kill_upstreams,
    "kill-host": _kill_host,
    "repartition": _publish_repartitioned_index,
    "slow-replicas": _slow_first_servers,
    "drain": _drain_first_servers,
    "poison": _crash_on_query,
    "platform-refuses": partial(_fail_platform, outage=Outage.REFUSE),
    "platform-hangs": partial(_fail_platform, outage=Outage.HANG),
}
