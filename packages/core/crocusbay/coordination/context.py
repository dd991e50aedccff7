"""Context: the services of one host that its parts share."""

from dataclasses import dataclass

from crocusbay.coordination.metrics import Metrics
from crocusbay.state import HybridClock, Timeline
from crocusbay.transport.timers import TimerService


@dataclass(frozen=True)
class Context:
    """Bundle the clock, timers, time line and metrics of a host."""

    host: str
    place: str
    clock: HybridClock
    timers: TimerService
    timeline: Timeline
    metrics: Metrics
