"""Faults that the load test can inject into a running local cluster."""

from collections.abc import Callable
from functools import partial

from crocusbay_standins.behaviour import ServerFaults
from crocusbay_standins.lab import Lab, make_snapshot
from crocusbay_standins.platform import Faults, Outage
from crocusbay_standins.upstreams import FaultOrder, SilenceOrder

SLOW_REPLICA_DELAY_MS = 100.0


def _inject_nothing(lab: Lab) -> None:
    """Inject no fault."""


def _silence_connections(lab: Lab) -> None:
    """Make upstream servers stop answering on their open connections for good."""
    lab.control_upstreams("silence", SilenceOrder())


def _kill_upstreams(lab: Lab) -> None:
    """Kill one upstream process, which simulates the loss of a rack."""
    lab.upstreams.pop().kill()


def _kill_host(lab: Lab) -> None:
    """Kill the host that was started last."""
    lab.host_by_name.popitem()[1].kill()


def _publish_repartitioned_index(lab: Lab) -> None:
    """Publish a snapshot with other shards and retire the old one at once."""
    lab.publish_index(make_snapshot(lab.deployment, 2), keep=1)


def _slow_first_servers(lab: Lab) -> None:
    """Delay the responses of the first server of each service."""
    names = [f"{service.name}.1" for service in lab.deployment.services]
    order = FaultOrder(ServerFaults(late_ms=SLOW_REPLICA_DELAY_MS), tuple(names))
    lab.control_upstreams("faults", order)


def _drain_first_servers(lab: Lab) -> None:
    """Drain the first server of each service without telling the platform."""
    names = [f"{service.name}.1" for service in lab.deployment.services]
    order = FaultOrder(ServerFaults(is_draining=True), tuple(names))
    lab.control_upstreams("faults", order)


def _crash_on_query(lab: Lab) -> None:
    """Make every server crash on searches for one query."""
    # The closing quote of the repr keeps longer query numbers from matching.
    order = FaultOrder(ServerFaults(crash_on="query-250'"))
    lab.control_upstreams("faults", order)


def _fail_platform(lab: Lab, outage: Outage) -> None:
    """Make the platform unavailable."""
    lab.control(lab.platform, "faults", Faults(outage=outage))


TROUBLES: dict[str, Callable[[Lab], None]] = {
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
