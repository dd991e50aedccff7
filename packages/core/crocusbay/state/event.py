"""Typed timeline events, and the bounded ring buffer that holds them."""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from crocusbay.state.stamp import HybridClock, Stamp

MAX_EVENTS = 20_000


class EventKind(StrEnum):
    """Name the type of an event."""

    ATTEMPT_FAILED = "attempt-failed"
    CONFIG_APPLIED = "config-in-force"
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
    """Describe one event in one process."""

    stamp: Stamp
    process: str
    kind: EventKind
    request: str = ""
    deployment: str = ""
    detail: str = ""


class Timeline:
    """Keep the most recent events of this process."""

    def __init__(self, process: str, clock: HybridClock) -> None:
        self.process = process
        self.clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def record(
        self,
        kind: EventKind,
        *,
        request: str = "",
        deployment: str = "",
        detail="",
    ) -> None:
        """Append an event with the current timestamp."""
        self._events.append(
            Event(self.clock.now(), self.process, kind, request, deployment, detail)
        )

    def events(self, request: str = "") -> list[Event]:
        """Return all events kept, or only those of one request."""
        return [e for e in self._events if not request or e.request == request]


def merge_events(*groups: list[Event]) -> list[Event]:
    """Return all events in causal order."""
    merged = [event for group in groups for event in group]
    return sorted(merged, key=lambda event: (event.stamp, event.process))
