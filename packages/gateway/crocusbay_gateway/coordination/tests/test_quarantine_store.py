import json
import os

import pytest

from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.quarantine import (
    CRASH_RETENTION_SECONDS,
    Crash,
    Quarantine,
    merge_crash_reports,
)
from crocusbay_gateway.coordination.quarantine_store import READERS, QuarantineStore
from crocusbay_gateway.coordination.sources import SOURCE_OWN
from crocusbay_gateway.coordination.store import (
    CrashReportList,
    StoreUnavailableError,
)
from crocusbay_gateway.coordination.suspicions import merge_suspicions
from crocusbay_gateway.coordination.tests.simulation import SimulatedGateway
from crocusbay_gateway.protocol import DismissedCrash
from crocusbay_gateway.state import HostStatus

pytestmark = pytest.mark.anyio


class FakeStore:
    """Store crash reports in memory, in place of the metadata store."""

    def __init__(self):
        self.by_fingerprint = {}
        self.suspicions_by_host = {}
        self.is_unavailable = False
        self.read_count = 0
        self.revision = 7
        self.rejected = set()

    def _check(self):
        if self.is_unavailable:
            raise StoreUnavailableError("store unavailable")

    async def update_crash_reports(self, fingerprint, reports, removed=()):
        self._check()
        if fingerprint in self.rejected:
            raise StoreUnavailableError("status 400")
        known = self.by_fingerprint.get(fingerprint, ())
        held = merge_crash_reports(known, reports, removed)
        self.revision += held != known
        self.by_fingerprint[fingerprint] = held
        if not held:
            del self.by_fingerprint[fingerprint]
        return held

    async def update_suspicions(self, host, added, removed=()):
        self._check()
        held = merge_suspicions(self.suspicions_by_host.get(host, ()), added, removed)
        self.revision += held != self.suspicions_by_host.get(host, ())
        self.suspicions_by_host[host] = held
        if not held:
            del self.suspicions_by_host[host]
        return held

    async def list_crash_reports(self):
        self._check()
        self.read_count += 1
        reports = sum(self.by_fingerprint.values(), ())
        return CrashReportList(self.revision, reports, dict(self.suspicions_by_host))


class Host:
    """Run the synchronization of one host on a virtual clock."""

    def __init__(self, store, name="host-0", others=()):
        gateway = SimulatedGateway({})
        self.timers = gateway.timers
        log, metrics = gateway.context.log, gateway.context.metrics
        self._log_pipe = gateway.log_pipe
        self.monitor = CrashMonitor(Quarantine(), log, metrics, self.timers)
        self.membership = Membership(name, "a", 1)
        self.hear(others)
        self.quarantine_store = QuarantineStore(
            self.monitor, self.membership, store, lambda: True, log, self.timers
        )

    def hear(self, names):
        for name in names:
            status = HostStatus(
                name, 1, 1, "a", f"{name}:80", f"{name}:81", store_era=1
            )
            self.membership.update(status, self.timers.now())

    def crash_servers(self, count=3, is_unanswered=True, first=0, fingerprint="f"):
        for number in range(first, first + count):
            crash = Crash("s", f"s{number}", 1, self.timers.now(), is_unanswered)
            self.monitor.record_crash(fingerprint, crash, SOURCE_OWN)

    def logged_events(self):
        lines = os.read(self._log_pipe, 1_000_000).splitlines()
        return [json.loads(line)["event"] for line in lines]

    def is_quarantined(self):
        return self.monitor.quarantine.is_quarantined("f", self.timers.now())


async def test_quarantine_outlasts_a_restart_of_all_hosts():
    store = FakeStore()
    host = Host(store)
    host.crash_servers()
    store.is_unavailable = True
    await host.quarantine_store.synchronize()
    assert not store.by_fingerprint
    store.is_unavailable = False
    await host.quarantine_store.synchronize()
    restarted = Host(store)
    store.is_unavailable = True
    await restarted.quarantine_store.synchronize()
    assert not restarted.is_quarantined()
    store.is_unavailable = False
    await restarted.quarantine_store.synchronize()
    assert restarted.is_quarantined()


async def test_expired_quarantine_is_removed():
    """Simulate a host that learned of the quarantine from the store only."""
    store = FakeStore()
    writer = Host(store)
    writer.crash_servers()
    await writer.quarantine_store.synchronize()
    reader = Host(store)
    await reader.quarantine_store.synchronize()
    await reader.timers.advance(CRASH_RETENTION_SECONDS + 1.0)
    store.is_unavailable = True
    await reader.quarantine_store.synchronize()
    assert not reader.is_quarantined()
    assert store.by_fingerprint
    store.is_unavailable = False
    await reader.quarantine_store.synchronize()
    assert not store.by_fingerprint


@pytest.mark.parametrize("is_unanswered", [True, False])
async def test_crash_is_written_until_a_server_responds(is_unanswered):
    """Servers that fail take harmless requests along, which others mostly answer."""
    store = FakeStore()
    host = Host(store)
    host.crash_servers(1, is_unanswered=is_unanswered)
    host.monitor.record_response("f", "s", "a1")
    await host.quarantine_store.synchronize()
    assert not store.by_fingerprint
    await host.timers.advance(1.0)
    host.crash_servers(2, is_unanswered=is_unanswered, first=1)
    await host.quarantine_store.synchronize()
    assert len(store.by_fingerprint["f"]) == 2
    host.monitor.record_response("f", "s", "a2")
    await host.quarantine_store.synchronize()
    assert not store.by_fingerprint


async def test_crash_after_a_response_is_written():
    store = FakeStore()
    host = Host(store)
    host.crash_servers(1)
    await host.quarantine_store.synchronize()
    host.monitor.record_response("f", "s", "a1")
    store.is_unavailable = True
    await host.quarantine_store.synchronize()
    await host.timers.advance(1.0)
    host.crash_servers(2, first=1)
    store.is_unavailable = False
    await host.quarantine_store.synchronize()
    assert len(store.by_fingerprint["f"]) == 2


async def test_few_hosts_read_after_their_start():
    names = [f"host-{number}" for number in range(2 * READERS)]
    store = FakeStore()
    for name in names:
        host = Host(store, name, [other for other in names if other != name])
        for _ in range(3):
            await host.quarantine_store.synchronize()
            await host.timers.advance(5.0)
    assert store.read_count == READERS


@pytest.mark.parametrize(
    ("polls", "reads"),
    [
        ([], 1),
        ([(7, 7, False)], 1),
        ([(7, 9, False), (9, 9, False)], 1),
        ([(7, 8, True)], 2),
        # Another host has polled in between.
        ([(8, 8, False)], 2),
    ],
)
@pytest.mark.parametrize("is_unavailable", [False, True])
async def test_host_that_polls_reads_what_else_has_changed(
    polls, reads, is_unavailable
):
    store = FakeStore()
    host = Host(store)
    await host.quarantine_store.synchronize()
    for after_revision, seen_revision, has_other_changes in polls:
        host.quarantine_store.observe_poll(
            after_revision, seen_revision, has_other_changes
        )
        store.is_unavailable = is_unavailable
        await host.quarantine_store.synchronize()
        store.is_unavailable = False
        store.revision = seen_revision
        await host.quarantine_store.synchronize()
    assert store.read_count == reads


async def read_again(host, store):
    """Read what the store holds, as after a poll that shows a change."""
    host.quarantine_store.observe_poll(store.revision - 1, store.revision, True)
    await host.quarantine_store.synchronize()


async def test_crashes_that_two_hosts_write_add_up():
    store = FakeStore()
    hosts = [Host(store, f"host-{number}") for number in range(2)]
    hosts[0].crash_servers(2)
    hosts[1].crash_servers(1, first=2)
    for host in hosts:
        await host.quarantine_store.synchronize()
    assert [host.is_quarantined() for host in hosts] == [False, True]
    await read_again(hosts[0], store)
    assert hosts[0].is_quarantined()


async def test_read_does_not_revive_crashes_of_before_a_response():
    store = FakeStore()
    observer, host = Host(store, "host-0"), Host(store, "host-1")
    observer.crash_servers(2)
    await observer.quarantine_store.synchronize()
    await host.quarantine_store.synchronize()
    await host.timers.advance(1.0)
    host.monitor.record_response("f", "s", "a1")
    store.is_unavailable = True
    await host.quarantine_store.synchronize()
    store.is_unavailable = False
    await host.timers.advance(1.0)
    await read_again(host, store)
    assert not host.monitor.quarantine.crashes("f")
    assert not store.by_fingerprint


async def test_crash_that_another_host_has_dismissed_is_removed():
    store = FakeStore()
    host = Host(store)
    host.crash_servers(1)
    await host.quarantine_store.synchronize()
    host.monitor.record_dismissals((DismissedCrash("f", "s0", 1),))
    await host.quarantine_store.synchronize()
    assert not store.by_fingerprint


@pytest.mark.parametrize("others", [(), [f"host-{n}" for n in range(1, 12)]])
async def test_nothing_is_kept_of_crashes_that_have_expired(others):
    """Only a few hosts remove crashes from the store."""
    store = FakeStore()
    host = Host(store, "host-0", others)
    host.crash_servers(2)
    await host.quarantine_store.synchronize()
    await host.timers.advance(CRASH_RETENTION_SECONDS + 1.0)
    await host.quarantine_store.synchronize()
    assert not host.quarantine_store._read_at_by_fingerprint
    assert not host.quarantine_store._saved_by_fingerprint


async def test_request_that_can_not_be_written_holds_up_no_other_one():
    store = FakeStore()
    store.rejected = {"a", "c"}
    host = Host(store)
    for fingerprint in "abcd":
        host.crash_servers(fingerprint=fingerprint)
    for _ in range(4):
        await host.quarantine_store.synchronize()
    assert store.by_fingerprint.keys() == {"b", "d"}


async def test_removed_crashes_stay_removed_after_a_restore():
    store = FakeStore()
    host = Host(store)
    host.crash_servers(2)
    await host.quarantine_store.synchronize()
    copy = dict(store.by_fingerprint)
    await host.timers.advance(CRASH_RETENTION_SECONDS + 1.0)
    await host.quarantine_store.synchronize()
    assert not store.by_fingerprint
    store.by_fingerprint = copy
    host.quarantine_store.write_again()
    await read_again(host, store)
    assert not store.by_fingerprint
    assert not host.monitor.quarantine.crashes("f")


async def test_write_that_failed_is_repeated_after_a_restore_during_it():
    store = FakeStore()
    host = Host(store)
    host.crash_servers(2)
    await host.quarantine_store.synchronize()
    store.by_fingerprint = {}
    store.is_unavailable = True
    host.quarantine_store.write_again()
    await host.quarantine_store.synchronize()
    store.is_unavailable = False
    await host.quarantine_store.synchronize()
    assert len(store.by_fingerprint["f"]) == 2


async def test_saves_and_reads_of_crashes_are_logged():
    store = FakeStore()
    writer, reader = Host(store), Host(store)
    writer.crash_servers(2)
    await writer.quarantine_store.synchronize()
    await reader.quarantine_store.synchronize()
    assert "crashes-saved" in writer.logged_events()
    assert "crashes-read" in reader.logged_events()
