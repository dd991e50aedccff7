"""Context: dependencies that all components of one host have in common."""

from dataclasses import dataclass

from crocusbay.coordination.metrics import Metrics
from crocusbay.state import HybridClock, Timeline
from crocusbay.transport.timers import TimerService


@dataclass(frozen=True)
class Context:
    """Clock, timers, timeline and metrics of a host."""

    host: str
    place: str
    clock: HybridClock
    timers: TimerService
    timeline: Timeline
    metrics: Metrics
