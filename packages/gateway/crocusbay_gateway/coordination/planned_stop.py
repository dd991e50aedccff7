"""Policy for requests during a planned stop of this host.

Callers use a leaving host while they have its address or an open connection. Other
hosts are there, so a request that would not end in time is refused before it is sent.
"""

from dataclasses import dataclass

# Before a stop, the entry addresses that callers have cached must expire; the rest of
# the time is for requests in flight to finish.
LISTENING_SHARE_OF_STOP_TIME = 0.7
# Until all hosts know that one is leaving, some still name it to callers.
NOTICE_SECONDS = 0.25
# The platform kills the process at the end of the stop time, and the signal to stop may
# have been handled late.
ANSWER_MARGIN_SECONDS = 0.5
MIN_ENTRY_LIFETIME_SECONDS = 0.1
# The last replies are sent in this time.
END_MARGIN_SECONDS = 0.25
# A refused request may be repeated elsewhere at once; one that may not be repeated is
# lost if it is broken off.
EXPECTED_TIME_RATIO = 1.0
NON_IDEMPOTENT_EXPECTED_TIME_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Decide which requests are served; times are monotonic (seconds).

    New connections are accepted until `listen_until`, requests that still run are
    answered at `answer_by`, and the process ends at `end_by` at the latest.
    """

    listen_until: float
    answer_by: float
    end_by: float

    def accepts(self, now: float, expected_time: float, *, is_idempotent: bool) -> bool:
        """Return whether a request is likely to end in time.

        >>> plan_stop(0.0, 6.0).accepts(4.0, 1.0, is_idempotent=True)
        True
        >>> plan_stop(0.0, 6.0).accepts(4.0, 1.0, is_idempotent=False)
        False
        """
        ratio = (
            EXPECTED_TIME_RATIO if is_idempotent else NON_IDEMPOTENT_EXPECTED_TIME_RATIO
        )
        return now + ratio * expected_time <= self.answer_by


def entry_lifetime(stop_time: float) -> float:
    """Return how long callers may keep the addresses of hosts (seconds).

    Addresses named just before a stop expire while the host still listens. A look-up
    costs a caller a connection and two round trips before its request.

    >>> round(entry_lifetime(6.0), 2)
    3.95
    """
    listening_time = LISTENING_SHARE_OF_STOP_TIME * stop_time
    return max(MIN_ENTRY_LIFETIME_SECONDS, listening_time - NOTICE_SECONDS)


def plan_stop(now: float, stop_time: float) -> PlannedStop:
    """Return the plan of a stop that begins now and may take `stop_time` (seconds)."""
    return PlannedStop(
        listen_until=now + LISTENING_SHARE_OF_STOP_TIME * stop_time,
        answer_by=now + stop_time - ANSWER_MARGIN_SECONDS,
        end_by=now + stop_time - END_MARGIN_SECONDS,
    )
