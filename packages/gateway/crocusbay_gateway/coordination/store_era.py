"""Era of the store, which rises when the store is restored from an older copy."""

from collections.abc import Callable

from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics


class StoreEra:
    """Track the highest era that the store or other hosts have reported.

    `current` is 0 while none is known.
    """

    def __init__(self, log: EventLog, metrics: GatewayMetrics) -> None:
        self.current = 0
        self._log = log
        self._metrics = metrics
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_restore: Callable[[], None]) -> None:
        """Register a callback for each rise, after which writes may be lost."""
        self._subscribers.append(on_restore)

    def observe(self, era: int, source: str) -> None:
        """Record an era; older ones are ignored."""
        if era <= self.current:
            return
        previous, self.current = self.current, era
        self._metrics.store_era.set(era)
        if not previous:
            return
        self._log.warning("store-restored", era=era, previous=previous, source=source)
        for on_restore in self._subscribers:
            on_restore()
