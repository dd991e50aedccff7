"""Health of one server, as observed by this host.

Health checks of servers lag behind and are unreliable, so only requests count: their
failures, and their response time relative to the typical one of the route.
"""

import math
import random

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict

SLOWNESS_SMOOTHING = 0.2
FAILURE_SMOOTHING = 0.15
# Time constant of the exponential decay of observations, so that a server that has
# recovered is tried again.
DECAY_SECONDS = 4.0
BACKOFF_INITIAL_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 2.0
# Longer than for a refused connection: each request to a silent server costs a hedge,
# one to a server that refuses costs almost nothing.
SILENT_BACKOFF_INITIAL_SECONDS = 0.5
SHED_BACKOFF_SECONDS = 0.05
# An address that now belongs to another server must not be used, even if no other is
# left: the request would reach a service that it was not meant for. Entries of
# stopped servers are removed within this time.
MISDIRECTED_BACKOFF_SECONDS = 5.0
# Penalties added to the expected cost, in units of one typical request: for failures,
# for an overdue response, for a server that has just started and for one in another
# data centre.
FAILURE_COST = 8.0
OVERDUE_COST = 3.0
WARM_UP_COST = 0.6
REMOTE_COST = 1.0
MAX_SLOWNESS = 20.0


class ServerHealth:
    """Track response time, failures and load of one server; times are in seconds."""

    __slots__ = (
        "in_flight",
        "slowness",
        "failure_rate",
        "warming_up_until",
        "_consecutive_failures",
        "_observed_at",
        "_backed_off_until",
        "_misdirected_until",
        "_overdue_at_by_exchange",
    )

    def __init__(self, warming_up_until: float = 0.0) -> None:
        self.in_flight = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.warming_up_until = warming_up_until
        self._consecutive_failures = 0
        self._observed_at = 0.0
        self._backed_off_until = 0.0
        self._misdirected_until = 0.0
        self._overdue_at_by_exchange: dict[object, float] = {}

    def is_available(self, now: float) -> bool:
        """Return whether no back-off is in effect."""
        return now >= self._backed_off_until

    def is_misdirected(self, now: float) -> bool:
        """Return whether another server recently responded at this address."""
        return now < self._misdirected_until

    def record_sent(self, exchange: object, overdue_at: float) -> None:
        """Record a request sent and the time from which its response is overdue."""
        self.in_flight += 1
        self._overdue_at_by_exchange[exchange] = overdue_at

    def record_finished(self, exchange: object) -> None:
        """Record that a request is no longer in flight."""
        if self._overdue_at_by_exchange.pop(exchange, None) is not None:
            self.in_flight -= 1

    def is_overdue(self, now: float) -> bool:
        """Return whether any response is overdue, as when the server is paused."""
        return any(
            overdue_at < now for overdue_at in self._overdue_at_by_exchange.values()
        )

    def record_result(
        self, verdict: Verdict, elapsed: float, typical: float, now: float
    ) -> None:
        """Record a result, its duration and the typical duration on its route."""
        self._decay(now)
        match verdict:
            case Ran(response) if response.status < 500:
                self._consecutive_failures = 0
                self._backed_off_until = 0.0
                sample = min(MAX_SLOWNESS, elapsed / max(1e-6, typical))
                self.slowness += SLOWNESS_SMOOTHING * (sample - self.slowness)
                self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate
            case Ran():
                self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate)
            case NotRun(Cause.SHED):
                delay = SHED_BACKOFF_SECONDS * random.uniform(0.8, 1.2)
                self._backed_off_until = max(self._backed_off_until, now + delay)
                self.failure_rate += 0.5 * FAILURE_SMOOTHING * (1.0 - self.failure_rate)
            case NotRun(Cause.LEAVING):
                self._misdirected_until = now + MISDIRECTED_BACKOFF_SECONDS
            case NotRun(Cause.CONNECT_FAILED | Cause.DRAINING):
                self._back_off(now)
            case MayHaveRun(Cause.CANCELLED | Cause.DEADLINE) | NotRun():
                return
            case MayHaveRun(Cause.SILENT):
                self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate)
                self._back_off(now, SILENT_BACKOFF_INITIAL_SECONDS)
            case MayHaveRun():
                self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate)
                self._consecutive_failures += 1
                if self._consecutive_failures >= 2:
                    self._back_off(now)

    def end_backoff(self) -> None:
        """Forget the failures, which were not the server's."""
        self._consecutive_failures = 0
        self._backed_off_until = 0.0
        self.failure_rate = 0.0

    def record_wait(self, elapsed: float, typical: float, now: float) -> None:
        """Record the time spent waiting for a response that has not arrived."""
        sample = min(MAX_SLOWNESS, elapsed / max(1e-6, typical))
        if sample > self.slowness:
            self._decay(now)
            self.slowness += SLOWNESS_SMOOTHING * (sample - self.slowness)

    def cost(self, now: float, slots: int, *, is_remote: bool) -> float:
        """Return the expected cost of one more request, in typical requests."""
        decay = math.exp((self._observed_at - now) / DECAY_SECONDS)
        slowness = 1.0 + (self.slowness - 1.0) * decay
        load_factor = 1.0 + self.in_flight / max(1, slots)
        cost = slowness * load_factor + FAILURE_COST * self.failure_rate * decay
        if is_remote:
            cost += REMOTE_COST
        if now < self.warming_up_until:
            cost += WARM_UP_COST
        if self._overdue_at_by_exchange and self.is_overdue(now):
            cost += OVERDUE_COST
        return cost

    def _decay(self, now: float) -> None:
        decay = math.exp((self._observed_at - now) / DECAY_SECONDS)
        self.slowness = 1.0 + (self.slowness - 1.0) * decay
        self.failure_rate *= decay
        self._observed_at = now

    def _back_off(self, now: float, initial: float = BACKOFF_INITIAL_SECONDS) -> None:
        self._consecutive_failures += 1
        delay = initial * 2 ** min(self._consecutive_failures - 1, 8)
        delay = min(BACKOFF_MAX_SECONDS, delay) * random.uniform(0.8, 1.2)
        self._backed_off_until = now + delay
