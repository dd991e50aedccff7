import pytest

from crocusbay_gateway.coordination.quarantine import Crash
from crocusbay_gateway.coordination.suspicions import (
    ABSENCE_SECONDS,
    DECISIVE_SAVE_DELAY_SECONDS,
    HOLD_SECONDS,
    MAX_AGE_SECONDS,
    MAX_HIDDEN_AGE_SECONDS,
    MAX_SAVE_AGE_SECONDS,
    MAX_SAVED,
    MAX_SHARED,
    MAX_SHARED_PER_REQUEST,
    OTHERS_SAVE_DELAY_SECONDS,
    REPEATED_SAVE_DELAY_SECONDS,
    SAVE_DELAY_SECONDS,
    SHARING_SECONDS,
    UNSEEN_ABSENCE_SECONDS,
    ProcessState,
    Suspicion,
    Suspicions,
    merge_suspicions,
)

REVIEW_SECONDS = 0.25
OF_OTHERS = {"is_own": False, "includes_others": True}


class Processes:
    """Set what is known of all server processes."""

    def __init__(self):
        self.state = ProcessState.SILENT
        self.hidden = 0.0
        self.suspicions = Suspicions(
            lambda suspicion, now: self.state, lambda now: self.hidden
        )

    def suspect(self, server="a", service="s", fingerprint="f", **fields):
        suspicion = Suspicion(fingerprint, service, server, 1, 0.0, 0.0, **fields)
        return self.suspicions.record(suspicion, suspicion.known_since)

    def review(self, start, end):
        """Return the servers that have ended by the reviews of a period."""
        ended, now = [], start
        while now <= end:
            ended += [each.server for each in self.suspicions.review(now)]
            now += REVIEW_SECONDS
        return ended


@pytest.mark.parametrize(
    ("states", "has_ended"),
    [
        # The state from each time on.
        ({0.0: ProcessState.SILENT}, False),
        ({0.0: ProcessState.SILENT, 3.0: ProcessState.ABSENT}, True),
        ({0.0: ProcessState.RESPONSIVE, 3.0: ProcessState.ABSENT}, True),
        # A server that leaves may drop what it still has.
        ({0.0: ProcessState.LEAVING, 3.0: ProcessState.ABSENT}, False),
        # Entries may come back.
        (
            {
                0.0: ProcessState.SILENT,
                3.0: ProcessState.ABSENT,
                3.0 + ABSENCE_SECONDS / 2: ProcessState.SILENT,
            },
            False,
        ),
        ({0.0: ProcessState.ABSENT}, True),
        (
            {
                0.0: ProcessState.ABSENT,
                UNSEEN_ABSENCE_SECONDS / 2: ProcessState.SILENT,
            },
            False,
        ),
        ({0.0: ProcessState.UNKNOWN, 30.0: ProcessState.ABSENT}, True),
        ({0.0: ProcessState.SILENT, MAX_AGE_SECONDS + 1: ProcessState.ABSENT}, False),
    ],
)
def test_server_has_crashed_if_its_entry_ends_in_time(states, has_ended):
    processes = Processes()
    processes.suspect()
    ended = []
    starts = sorted(states)
    for start, end in zip(starts, [*starts[1:], starts[-1] + 20.0], strict=True):
        processes.state = states[start]
        ended += processes.review(start, end - REVIEW_SECONDS)
    assert ended == ["a"] * has_ended


@pytest.mark.parametrize(
    ("state", "hidden", "now", "counts"),
    [
        (ProcessState.SILENT, 0.0, 1.0, True),
        (ProcessState.SILENT, 0.0, HOLD_SECONDS, False),
        (ProcessState.SILENT, 5.0, HOLD_SECONDS, True),
        (ProcessState.RESPONSIVE, 0.0, 1.0, False),
        (ProcessState.LEAVING, 0.0, 1.0, False),
        (ProcessState.UNKNOWN, 0.0, MAX_HIDDEN_AGE_SECONDS / 2, True),
        (ProcessState.ABSENT, 0.0, 0.1, True),
    ],
)
def test_silent_server_counts_until_its_entry_would_have_ended(
    state, hidden, now, counts
):
    processes = Processes()
    processes.suspect()
    processes.state, processes.hidden = state, hidden
    assert bool(processes.suspicions.held("f", now)) is counts


@pytest.mark.parametrize("is_own", [True, False])
def test_later_copy_makes_a_process_suspected_again(is_own):
    processes = Processes()
    processes.suspect(is_own=is_own)
    processes.review(0.0, 3.0)
    later = 5.0
    suspicion = Suspicion("f", "s", "a", 1, later, later, is_own=is_own)
    assert processes.suspicions.record(suspicion, later)
    assert processes.suspicions.held("f", later + HOLD_SECONDS / 2)


@pytest.mark.parametrize("is_unanswered", [True, False])
def test_pause_of_a_server_is_not_told_if_another_has_responded(is_unanswered):
    processes = Processes()
    processes.suspect(is_unanswered=is_unanswered)
    assert bool(processes.suspicions.to_share(0.05)) is is_unanswered
    assert bool(processes.suspicions.remove_service("f", "s")) is is_unanswered


def test_suspicion_is_news_once_and_when_a_server_responds_to_the_copy():
    processes = Processes()
    assert processes.suspect()
    assert not processes.suspect()
    assert processes.suspect(is_unanswered=False)
    assert not processes.suspect(is_unanswered=True)


@pytest.mark.parametrize(
    ("servers", "is_repeated", "crash_count", "options", "due_after"),
    [
        (1, False, 0, {}, SAVE_DELAY_SECONDS),
        # The servers of one copy, as of a hedge.
        (2, False, 0, {}, SAVE_DELAY_SECONDS),
        (2, True, 0, {}, REPEATED_SAVE_DELAY_SECONDS),
        (3, False, 0, {}, DECISIVE_SAVE_DELAY_SECONDS),
        (1, False, 1, {}, REPEATED_SAVE_DELAY_SECONDS),
        (1, False, 0, {"is_last": True}, 0.0),
        (1, False, 0, {"is_own": False}, None),
        (1, False, 0, OF_OTHERS, None),
        (2, False, 0, OF_OTHERS, OTHERS_SAVE_DELAY_SECONDS),
    ],
)
def test_suspicions_are_saved_after_a_delay(
    servers, is_repeated, crash_count, options, due_after
):
    options = {"is_own": True, "includes_others": False, "is_last": False} | options
    is_own = options.pop("is_own")
    crash = Crash("s", "t", 1, 0.0, is_unanswered=False)
    processes = Processes()
    for number in range(servers):
        copy = f"copy-{number if is_repeated else 0}"
        processes.suspect(f"s{number}", is_own=is_own, request_id=copy)

    def due(now):
        return len(
            processes.suspicions.to_save(
                now, lambda fingerprint: crash_count * [crash], **options
            )
        )

    if due_after is None:
        assert not due(MAX_SAVE_AGE_SECONDS)
    else:
        assert not due(due_after - 0.01)
        assert due(due_after) == servers


def test_shared_suspicions_fit_into_a_heartbeat_and_quarantine_each_request():
    processes = Processes()
    for fingerprint in "fgh":
        for number in range(20):
            processes.suspect(
                f"s{number}", f"service{number}", fingerprint, is_own=True
            )
    shared = [processes.suspicions.to_share(0.4) for _ in range(3)]
    assert {len(each) for each in shared} == {MAX_SHARED}
    counts = {}
    for report in set(sum(shared, ())):
        counts[report.fingerprint] = counts.get(report.fingerprint, 0) + 1
    assert counts == dict.fromkeys("fgh", MAX_SHARED_PER_REQUEST)
    assert not processes.suspicions.to_share(SHARING_SECONDS + 0.1)
    processes.suspicions.share_again(SHARING_SECONDS + 0.1)
    assert processes.suspicions.to_share(SHARING_SECONDS + 0.1)


def test_saved_suspicions_are_limited_to_the_latest():
    reports = [
        Suspicion("f", "s", f"s{number}", 1, 0.0, 0.0).report(0.0)
        for number in range(MAX_SAVED + 1)
    ]
    assert merge_suspicions((), reports) == tuple(reports[1:])
    removed = [("f", reports[1].key)]
    assert merge_suspicions(tuple(reports[:2]), (), removed) == (reports[0],)
