"""Troubles that the load tool causes in the middle of a run."""

from collections.abc import Callable
from functools import partial

from crocusbay_standins.behaviour import ServerFaults
from crocusbay_standins.lab import Lab, make_snapshot
from crocusbay_standins.platform import Faults, Outage
from crocusbay_standins.upstreams import FaultOrder, SilenceOrder

SLOW_MS = 100.0


def _nothing(lab: Lab) -> None:
    """Leave the lab alone."""


def _silence(lab: Lab) -> None:
    """Make every open connection to upstreams go silent for good."""
    lab.control_upstreams("silence", SilenceOrder())


def _kill_upstreams(lab: Lab) -> None:
    """Kill one process of upstreams, as when a rack goes."""
    lab.upstreams.pop().kill()


def _kill_host(lab: Lab) -> None:
    """Kill one host."""
    lab.host_by_name.popitem()[1].kill()


def _repartition(lab: Lab) -> None:
    """Publish a new snapshot with other shards."""
    lab.publish_index(make_snapshot(lab.deployment, 2), keep=1)


def _slow_replicas(lab: Lab) -> None:
    """Make the first server of each service slow."""
    names = [f"{service.name}.1" for service in lab.deployment.services]
    order = FaultOrder(ServerFaults(late_ms=SLOW_MS), tuple(names))
    lab.control_upstreams("faults", order)


def _drain(lab: Lab) -> None:
    """Make the first server of each service drain, unknown to the platform."""
    names = [f"{service.name}.1" for service in lab.deployment.services]
    order = FaultOrder(ServerFaults(is_draining=True), tuple(names))
    lab.control_upstreams("faults", order)


def _poison(lab: Lab) -> None:
    """Make every server crash on searches for one query."""
    order = FaultOrder(ServerFaults(crash_on="query-250'"))
    lab.control_upstreams("faults", order)


def _outage(lab: Lab, outage: Outage) -> None:
    """Make the platform fail."""
    lab.control(lab.platform, "faults", Faults(outage=outage))


TROUBLES: dict[str, Callable[[Lab], None]] = {
    "none": _nothing,
    "silence": _silence,
    "kill-upstreams": _kill_upstreams,
    "kill-host": _kill_host,
    "repartition": _repartition,
    "slow-replicas": _slow_replicas,
    "drain": _drain,
    "poison": _poison,
    "platform-refuses": partial(_outage, outage=Outage.REFUSE),
    "platform-hangs": partial(_outage, outage=Outage.HANG),
}
