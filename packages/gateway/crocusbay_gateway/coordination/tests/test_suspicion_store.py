import pytest

from crocusbay_gateway.coordination.sources import SOURCE_PEER
from crocusbay_gateway.coordination.suspicion_store import (
    FOREIGN_REMOVAL_DELAY_SECONDS,
    REMOVAL_DELAY_SECONDS,
)
from crocusbay_gateway.coordination.suspicions import (
    MAX_AGE_SECONDS,
    OTHERS_SAVE_DELAY_SECONDS,
    SAVE_DELAY_SECONDS,
    UNSEEN_ABSENCE_SECONDS,
    ProcessState,
    Suspicion,
)
from crocusbay_gateway.coordination.tests.test_quarantine_store import FakeStore, Host

pytestmark = pytest.mark.anyio


class SuspectingHost(Host):
    """Run the synchronization of one host that suspects crashes."""

    def __init__(self, store, name="host-0", others=()):
        super().__init__(store, name, others)
        self.state = ProcessState.SILENT
        self.monitor.suspicions._find_state = lambda suspicion, now: self.state

    def suspect(self, count=3, first=0):
        now = self.timers.now()
        for number in range(first, first + count):
            suspicion = Suspicion(
                "f",
                "s",
                f"s{number}",
                1,
                now,
                now,
                is_own=True,
                request_id=f"copy-{number}",
            )
            self.monitor.suspect(suspicion, "overdue")

    async def synchronize(self, seconds):
        """Synchronize until a time has passed, and once more."""
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            await self.quarantine_store.synchronize()
            await self.timers.advance(min(0.25, end - self.timers.now()))
        await self.quarantine_store.synchronize()

    def suspected(self):
        return len(self.monitor.suspicions.of_request("f"))


async def test_suspicions_quarantine_after_a_restart_of_all_hosts():
    store = FakeStore()
    host = SuspectingHost(store)
    host.suspect()
    await host.synchronize(SAVE_DELAY_SECONDS)
    restarted = SuspectingHost(store, "host-1")
    restarted.state = ProcessState.ABSENT
    await restarted.synchronize(UNSEEN_ABSENCE_SECONDS + 0.25)
    assert restarted.is_quarantined()


async def test_suspicion_that_is_cleared_at_once_is_not_written():
    store = FakeStore()
    host = SuspectingHost(store)
    host.suspect(count=1)
    await host.synchronize(SAVE_DELAY_SECONDS / 2)
    host.monitor.record_response("f", "s", "id")
    await host.synchronize(2.0)
    assert store.revision == FakeStore().revision


async def test_cleared_suspicion_is_removed_and_withdrawn_by_hosts_that_read_it():
    store = FakeStore()
    host, reader = SuspectingHost(store), SuspectingHost(store, "host-1")
    host.suspect()
    await host.synchronize(SAVE_DELAY_SECONDS)
    await reader.synchronize(0.25)
    assert reader.suspected() == 3
    host.monitor.record_response("f", "s", "id")
    await host.synchronize(REMOVAL_DELAY_SECONDS)
    assert not store.suspicions_by_host
    reader.quarantine_store.observe_poll(0, store.revision, True)
    await reader.quarantine_store.synchronize()
    assert not reader.suspected()


async def test_suspicion_stays_in_the_store_until_the_crash_is_there():
    store = FakeStore()
    host = SuspectingHost(store)
    host.suspect()
    await host.synchronize(SAVE_DELAY_SECONDS)
    host.state = ProcessState.ABSENT
    store.rejected.add("f")
    await host.synchronize(UNSEEN_ABSENCE_SECONDS + 1.0)
    assert host.is_quarantined()
    assert store.suspicions_by_host
    store.rejected.clear()
    await host.synchronize(REMOVAL_DELAY_SECONDS + 0.25)
    assert not store.suspicions_by_host
    assert len(store.by_fingerprint["f"]) == 3


async def test_object_of_a_lost_host_is_removed_after_its_crashes_are_written():
    store = FakeStore()
    lost = SuspectingHost(store)
    lost.suspect()
    await lost.synchronize(SAVE_DELAY_SECONDS)
    host = SuspectingHost(store, "host-1")
    host.state = ProcessState.ABSENT
    await host.synchronize(UNSEEN_ABSENCE_SECONDS + FOREIGN_REMOVAL_DELAY_SECONDS + 1)
    assert not store.suspicions_by_host
    assert len(store.by_fingerprint["f"]) == 3


async def test_restarted_host_adopts_what_its_earlier_process_wrote():
    store = FakeStore()
    host = SuspectingHost(store)
    host.suspect(count=2)
    await host.synchronize(SAVE_DELAY_SECONDS)
    # Others read for it, and it is not the first to poll.
    restarted = SuspectingHost(store, others=[f"other-{n}" for n in range(40)])
    restarted.suspect(count=1, first=2)
    await restarted.synchronize(SAVE_DELAY_SECONDS)
    assert restarted.suspected() == 3
    await restarted.synchronize(MAX_AGE_SECONDS + REMOVAL_DELAY_SECONDS + 1.0)
    assert not restarted.suspected()
    assert not store.suspicions_by_host


async def test_first_host_to_poll_writes_what_a_lost_host_has_told():
    store = FakeStore()
    host = SuspectingHost(store, "host-1")
    now = host.timers.now()
    told = tuple(
        Suspicion("f", "s", server, 1, now, now).report(now) for server in ("a", "b")
    )
    host.monitor.record_suspicions(told, SOURCE_PEER)
    await host.synchronize(OTHERS_SAVE_DELAY_SECONDS)
    assert len(store.suspicions_by_host["host-1"]) == 2


async def test_first_host_to_poll_writes_crashes_that_a_lost_host_suspected():
    store = FakeStore()
    host = SuspectingHost(store, "host-1")
    now = host.timers.now()
    told = Suspicion("f", "s", "a", 1, now, now).report(now)
    host.monitor.record_suspicions((told,), SOURCE_PEER)
    host.state = ProcessState.ABSENT
    await host.synchronize(UNSEEN_ABSENCE_SECONDS + 0.25)
    assert len(store.by_fingerprint["f"]) == 1


async def test_suspicions_are_written_again_to_a_restored_store():
    store = FakeStore()
    host = SuspectingHost(store)
    host.suspect()
    await host.synchronize(SAVE_DELAY_SECONDS)
    store.suspicions_by_host.clear()
    host.quarantine_store.write_again()
    await host.quarantine_store.synchronize()
    assert len(store.suspicions_by_host["host-0"]) == 3


async def test_host_that_stops_writes_what_it_suspects_at_once():
    store = FakeStore()
    host = SuspectingHost(store)
    host.suspect(count=1)
    await host.quarantine_store.flush()
    assert len(store.suspicions_by_host["host-0"]) == 1
