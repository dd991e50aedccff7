"""Order records, which ensure that a non-idempotent request runs at most once."""

from dataclasses import dataclass
from enum import StrEnum


class OrderState(StrEnum):
    """Name the state of an order."""

    STARTED = "started"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class OrderRecord:
    """Record one order; only the attempt that wrote STARTED may send it upstream."""

    order: str
    digest: str
    host: str
    attempt: str
    state: OrderState
    time: str
    answer: str = ""
