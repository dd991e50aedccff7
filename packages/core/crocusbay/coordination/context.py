"""Context: the services that the components of one host share."""

from dataclasses import dataclass

from crocusbay.coordination.metrics import Metrics
from crocusbay.state import HybridClock, Timeline
from crocusbay.transport.timers import TimerService


@dataclass(frozen=True)
class Context:
    """Hold the clock, timers, timeline and metrics of a host."""

    host: str
    place: str
    clock: HybridClock
    timers: TimerService
    timeline: Timeline
    metrics: Metrics
