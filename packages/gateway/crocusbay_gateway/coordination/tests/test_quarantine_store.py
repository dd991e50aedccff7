import json
import os

import pytest

from crocusbay_gateway.coordination.crash_monitor import CrashMonitor
from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.quarantine import (
    CRASH_RETENTION_SECONDS,
    Crash,
    Quarantine,
)
from crocusbay_gateway.coordination.quarantine_store import (
    ISOLATED_READ_INTERVAL_SECONDS,
    READERS,
    QuarantineStore,
)
from crocusbay_gateway.coordination.sources import SOURCE_OWN
from crocusbay_gateway.coordination.store import StoreUnavailableError
from crocusbay_gateway.coordination.tests.simulation import SimulatedGateway
from crocusbay_gateway.state import HostStatus

pytestmark = pytest.mark.anyio


class FakeStore:
    """Store crash reports in memory, in place of the metadata store."""

    def __init__(self):
        self.by_fingerprint = {}
        self.is_unavailable = False
        self.read_count = 0

    def _check(self):
        if self.is_unavailable:
            raise StoreUnavailableError("store unavailable")

    async def write_crash_reports(self, fingerprint, reports):
        self._check()
        self.by_fingerprint[fingerprint] = reports

    async def list_crash_reports(self):
        self._check()
        self.read_count += 1
        return tuple(
            report for reports in self.by_fingerprint.values() for report in reports
        )

    async def remove_crash_reports(self, fingerprint):
        self._check()
        self.by_fingerprint.pop(fingerprint, None)


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

    def crash_servers(self, count=3, is_unanswered=True):
        for number in range(count):
            crash = Crash("s", f"s{number}", 1, self.timers.now(), is_unanswered)
            self.monitor.record_crash("f", crash, SOURCE_OWN)

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
async def test_crashes_are_written_if_no_server_responded(is_unanswered):
    """Servers that fail take harmless requests along, which others mostly answer."""
    store = FakeStore()
    host = Host(store)
    host.crash_servers(2, is_unanswered=is_unanswered)
    await host.quarantine_store.synchronize()
    assert bool(store.by_fingerprint) == is_unanswered
    host.monitor.record_response("f", "s", "a1")
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
    host.crash_servers(2)
    store.is_unavailable = False
    await host.quarantine_store.synchronize()
    assert len(store.by_fingerprint["f"]) == 2


async def test_few_hosts_read_and_each_once_unless_it_is_isolated():
    names = [f"host-{number}" for number in range(2 * READERS)]
    store = FakeStore()
    for name in names:
        host = Host(store, name, [other for other in names if other != name])
        for _ in range(3):
            await host.quarantine_store.synchronize()
            await host.timers.advance(ISOLATED_READ_INTERVAL_SECONDS)
    assert store.read_count == READERS
    isolated = Host(store)
    for _ in range(3):
        await isolated.quarantine_store.synchronize()
        await isolated.timers.advance(ISOLATED_READ_INTERVAL_SECONDS)
    assert store.read_count == READERS + 3


async def test_saves_and_reads_of_crashes_are_logged():
    store = FakeStore()
    writer, reader = Host(store), Host(store)
    writer.crash_servers(2)
    await writer.quarantine_store.synchronize()
    await reader.quarantine_store.synchronize()
    assert "crashes-saved" in writer.logged_events()
    assert "crashes-read" in reader.logged_events()
