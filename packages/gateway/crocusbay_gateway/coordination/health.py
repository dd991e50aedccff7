"""Health of one server, judged by what this host sees of it alone.

Health answers of servers lag and mislead, so only requests count: their time relative
to the usual one of their route, and their failures.
"""

import math
import random

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict

SLOWNESS_GAIN = 0.2
FAILURE_GAIN = 0.15
# Observations lose weight, so that a server that has recovered is tried again.
FORGET_SECONDS = 4.0
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 2.0
# A silent server costs each request that tries it a hedge, a refusing one next to
# nothing.
SILENT_FIRST_SECONDS = 0.5
SHED_SECONDS = 0.05
# An address that belongs to another server now is of no use, even for want of a better
# one: what is sent there is an arrival at a service that was not asked. Entries of
# servers that are gone are removed within this time.
MISDIRECTED_SECONDS = 5.0
# In units of one usual request: what a failure, an overdue answer, a server that just
# started and a server in another data centre add to the expected cost.
FAILURE_COST = 8.0
OVERDUE_COST = 3.0
COLD_COST = 0.6
REMOTE_COST = 1.0
MAX_SLOWNESS = 20.0


class ServerHealth:
    """Follow one server: how slow, how reliable and how busy it is (seconds)."""

    __slots__ = (
        "in_flight",
        "slowness",
        "failure_rate",
        "cold_until",
        "_failures",
        "_observed_at",
        "_down_until",
        "_misdirected_until",
        "_overdue_by_exchange",
    )

    def __init__(self, cold_until: float = 0.0) -> None:
        self.in_flight = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.cold_until = cold_until
        self._failures = 0
        self._observed_at = 0.0
        self._down_until = 0.0
        self._misdirected_until = 0.0
        self._overdue_by_exchange: dict[object, float] = {}

    def is_up(self, now: float) -> bool:
        """Return whether the server is not backed off."""
        return now >= self._down_until

    def is_misdirected(self, now: float) -> bool:
        """Return whether another server was met at the address a moment ago."""
        return now < self._misdirected_until

    def sent(self, exchange: object, overdue_at: float) -> None:
        """Note a request and when its answer is overdue."""
        self.in_flight += 1
        self._overdue_by_exchange[exchange] = overdue_at

    def done(self, exchange: object) -> None:
        """Note that a request is no longer under way."""
        if self._overdue_by_exchange.pop(exchange, None) is not None:
            self.in_flight -= 1

    def is_overdue(self, now: float) -> bool:
        """Return whether an answer of the server is overdue, as in a pause."""
        return any(due < now for due in self._overdue_by_exchange.values())

    def learn(self, verdict: Verdict, elapsed: float, usual: float, now: float) -> None:
        """Take a verdict, its time and the usual time of its route."""
        self._forget(now)
        match verdict:
            case Ran(answer) if answer.status < 500:
                self._failures = 0
                self._down_until = 0.0
                sample = min(MAX_SLOWNESS, elapsed / max(1e-6, usual))
                self.slowness += SLOWNESS_GAIN * (sample - self.slowness)
                self.failure_rate -= FAILURE_GAIN * self.failure_rate
            case Ran():
                self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
            case NotRun(Cause.SHED):
                wait = SHED_SECONDS * random.uniform(0.8, 1.2)
                self._down_until = max(self._down_until, now + wait)
                self.failure_rate += 0.5 * FAILURE_GAIN * (1.0 - self.failure_rate)
            case NotRun(Cause.LEAVING):
                self._misdirected_until = now + MISDIRECTED_SECONDS
            case NotRun(Cause.CONNECT_FAILED | Cause.DRAINING):
                self._back_off(now)
            case MayHaveRun(Cause.CANCELLED | Cause.DEADLINE) | NotRun():
                return
            case MayHaveRun(Cause.SILENT):
                self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
                self._back_off(now, SILENT_FIRST_SECONDS)
            case MayHaveRun():
                self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
                self._failures += 1
                if self._failures >= 2:
                    self._back_off(now)

    def waited(self, elapsed: float, usual: float, now: float) -> None:
        """Take the time waited for an answer that was given up."""
        sample = min(MAX_SLOWNESS, elapsed / max(1e-6, usual))
        if sample > self.slowness:
            self._forget(now)
            self.slowness += SLOWNESS_GAIN * (sample - self.slowness)

    def cost(self, now: float, slots: int, *, is_remote: bool) -> float:
        """Return the expected cost of one more request, in usual requests."""
        age = math.exp((self._observed_at - now) / FORGET_SECONDS)
        slowness = 1.0 + (self.slowness - 1.0) * age
        busy = 1.0 + self.in_flight / max(1, slots)
        cost = slowness * busy + FAILURE_COST * self.failure_rate * age
        if is_remote:
            cost += REMOTE_COST
        if now < self.cold_until:
            cost += COLD_COST
        if self._overdue_by_exchange and self.is_overdue(now):
            cost += OVERDUE_COST
        return cost

    def _forget(self, now: float) -> None:
        age = math.exp((self._observed_at - now) / FORGET_SECONDS)
        self.slowness = 1.0 + (self.slowness - 1.0) * age
        self.failure_rate *= age
        self._observed_at = now

    def _back_off(self, now: float, first: float = BACKOFF_FIRST_SECONDS) -> None:
        self._failures += 1
        wait = first * 2 ** min(self._failures - 1, 8)
        wait = min(BACKOFF_MAX_SECONDS, wait) * random.uniform(0.8, 1.2)
        self._down_until = now + wait
