"""Typed events of the time line, and the bounded ring that keeps them."""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from crocusbay.state.stamp import HybridClock, Stamp

RING_EVENTS = 20_000


class EventKind(StrEnum):
    """Name what happened."""

    ATTEMPT_FAILED = "attempt-failed"
    CONFIG_IN_FORCE = "config-in-force"
    FAULT_SET = "fault-set"
    HEDGE = "hedge"
    HOST_LEAVING = "host-leaving"
    HOST_STARTED = "host-started"
    HOST_STOPPED = "host-stopped"
    MEMBER_JOINED = "member-joined"
    MEMBER_LOST = "member-lost"
    OBJECT_WRITTEN = "object-written"
    ORDER_RECORDED = "order-recorded"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_UP = "platform-up"
    QUARANTINED = "quarantined"
    REQUEST_ENDED = "request-ended"
    REQUEST_STARTED = "request-started"
    RETRY = "retry"
    SNAPSHOT_RESTART = "snapshot-restart"
    UPSTREAM_LEAVING = "upstream-leaving"
    UPSTREAM_RAN = "upstream-ran"


@dataclass(frozen=True, slots=True)
class Event:
    """Record one happening at one process."""

    stamp: Stamp
    process: str
    kind: EventKind
    request: str = ""
    deployment: str = ""
    detail: str = ""


class Timeline:
    """Keep the latest events of this process."""

    def __init__(self, process: str, clock: HybridClock) -> None:
        self.process = process
        self.clock = clock
        self._ring: deque[Event] = deque(maxlen=RING_EVENTS)

    def record(
        self,
        kind: EventKind,
        *,
        request: str = "",
        deployment: str = "",
        detail="",
    ) -> None:
        """Append an event stamped now."""
        self._ring.append(
            Event(self.clock.now(), self.process, kind, request, deployment, detail)
        )

    def events(self, request: str = "") -> list[Event]:
        """Return the events kept, or those of one request."""
        return [e for e in self._ring if not request or e.request == request]


def merge_events(*groups: list[Event]) -> list[Event]:
    """Return all events in an order that respects cause and effect."""
    merged = [event for group in groups for event in group]
    return sorted(merged, key=lambda event: (event.stamp, event.process))
