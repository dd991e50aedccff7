"""The store comes back from an older copy, and revisions are given out again."""

import asyncio

import pytest

from crocusbay_gateway.state import Configuration
from crocusbay_platform.names import HOSTS_KIND, QUARANTINES_KIND
from crocusbay_standins.emulator.tests.deployment import STABLE_SECONDS, Deployment
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.deployment import PATHS, make_routes, make_services
from crocusbay_standins.soak.hosts import BOUNDS
from crocusbay_standins.soak.servers import CRASH_MARK
from crocusbay_standins.soak.store import Outage

HOSTS = 3
# Calls that a change of the store's era may cost each host: lists, and retries of the
# calls that it interrupts.
RESTORE_CALLS_PER_HOST = 12
CALM_SECONDS = 5.0


def configuration(version):
    return Configuration(version, make_routes(version), make_services())


def versions(deployment):
    """Return the version in force on each running host, or 0 without one."""
    views = [host.gateway.configuration for host in deployment.hosts if host.is_running]
    return [view.configuration.version if view.configuration else 0 for view in views]


def record_versions(deployment):
    """Return the versions that each host has in force from now on, by host name."""
    versions_by_name = {host.name: [] for host in deployment.hosts}
    for host in deployment.hosts:
        view = host.gateway.configuration
        seen = versions_by_name[host.name]
        seen.append(view.configuration.version)
        view.subscribe(lambda newer, seen=seen: seen.append(newer.version))
    return versions_by_name


async def change_configuration(deployment, count, first=2, pause=0.3):
    for version in range(first, first + count):
        deployment.store.put_configuration(configuration(version))
        await asyncio.sleep(pause)


async def restore(deployment, age, outage_seconds=0.5):
    deployment.store.outage = Outage.RESET
    await asyncio.sleep(outage_seconds)
    deployment.store.restore(age + outage_seconds)
    deployment.store.outage = Outage.NONE


@pytest.mark.parametrize("outage_seconds", [0.0, 0.5, 3.0])
@pytest.mark.parametrize(
    ("lost_changes", "writes"),
    [
        # The revision of the change is lower than, equal to, or higher than those that
        # hosts have seen.
        (3, 1),
        (1, 1),
        (2, 2),
        # The store has passed the revisions that hosts have seen, so that watches from
        # there succeed.
        (3, 6),
    ],
)
def test_change_after_a_restore_is_in_force(
    loop, tmp_path, outage_seconds, lost_changes, writes
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        await change_configuration(deployment, lost_changes)
        lost = max(versions(deployment))
        assert lost == 1 + lost_changes
        await restore(deployment, lost_changes * 0.3 + 0.1, outage_seconds)
        await change_configuration(deployment, writes, first=lost + 1, pause=0.0)
        await asyncio.sleep(BOUNDS.configuration_apply_time)
        assert versions(deployment) == [lost + writes] * HOSTS

    loop.run_until_complete(main())


def test_hosts_may_start_in_a_later_era(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        deployment.store.era = 7
        await deployment.start()
        calls = deployment.store.request_count
        await change_configuration(deployment, 3)
        await asyncio.sleep(BOUNDS.configuration_apply_time)
        assert versions(deployment) == [4] * HOSTS
        # One host polls two views.
        seconds = BOUNDS.configuration_apply_time + 1.0
        assert deployment.store.request_count - calls <= 2 * seconds / 0.5
        assert all(host.gateway.store_era.current == 7 for host in deployment.hosts)

    loop.run_until_complete(main())


@pytest.mark.parametrize("rewrite_after_seconds", [0.0, 1.0, 3.0])
def test_configuration_in_force_does_not_go_back_with_the_store(
    loop, tmp_path, rewrite_after_seconds
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        await change_configuration(deployment, 3)
        versions_by_name = record_versions(deployment)
        await restore(deployment, 1.0)
        await asyncio.sleep(rewrite_after_seconds)
        assert versions(deployment) == [4] * HOSTS
        deployment.store.put_configuration(configuration(4))
        await asyncio.sleep(1.0)
        deployment.store.put_configuration(configuration(5))
        await asyncio.sleep(BOUNDS.configuration_apply_time)
        for seen in versions_by_name.values():
            assert seen == sorted(seen)
            assert seen[-1] == 5

    loop.run_until_complete(main())


@pytest.mark.parametrize("restarted", [[0], [1], [2], [0, 1], [1, 2]])
def test_restarted_hosts_get_the_configuration_that_the_store_has_lost(
    loop, tmp_path, restarted
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        await change_configuration(deployment, 3)
        for number in restarted:
            deployment.hosts[number].kill()
        await restore(deployment, 1.0)
        for number in restarted:
            deployment.hosts[number].start()
        await asyncio.sleep(STABLE_SECONDS)
        assert versions(deployment) == [4] * HOSTS
        deployment.store.put_configuration(configuration(4))
        await asyncio.sleep(0.5)
        deployment.store.put_configuration(configuration(5))
        await asyncio.sleep(BOUNDS.configuration_apply_time)
        assert versions(deployment) == [5] * HOSTS

    loop.run_until_complete(main())


@pytest.mark.parametrize("is_in_copy", [True, False])
def test_malformed_configuration_leaves_the_valid_one_in_force(
    loop, tmp_path, is_in_copy
):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        if is_in_copy:
            deployment.store.put_raw_configuration(b'"forged"')
        await change_configuration(deployment, 2)
        await restore(deployment, 1.0)
        if not is_in_copy:
            deployment.store.put_raw_configuration(b'"forged"')
        await asyncio.sleep(1.0)
        assert versions(deployment) == [3] * HOSTS
        calls = deployment.store.request_count
        await asyncio.sleep(CALM_SECONDS)
        # One host polls two views.
        assert deployment.store.request_count - calls <= 2 * CALM_SECONDS / 0.5
        for host in deployment.hosts:
            assert host.gateway.store_watcher.reaches_store
        deployment.store.put_configuration(configuration(4))
        await asyncio.sleep(BOUNDS.configuration_apply_time)
        assert versions(deployment) == [4] * HOSTS

    loop.run_until_complete(main())


def test_second_restore_before_the_first_is_over(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        await change_configuration(deployment, 3)
        await restore(deployment, 1.0)
        await change_configuration(deployment, 2, first=4, pause=0.1)
        await restore(deployment, 0.5, 0.2)
        await change_configuration(deployment, 2, first=5, pause=0.1)
        await asyncio.sleep(BOUNDS.configuration_apply_time)
        assert versions(deployment) == [6] * HOSTS

    loop.run_until_complete(main())


@pytest.mark.parametrize("has_restarted_host", [False, True])
def test_servers_that_left_since_the_copy_stay_out_of_use(
    loop, tmp_path, has_restarted_host
):
    """A server that has left is gone; one that drains goes on running."""

    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        gone, draining = deployment.servers[0], deployment.servers[3]
        gone.crash()
        gone.deregister()
        draining.drain()
        await asyncio.sleep(2.0)
        if has_restarted_host:
            deployment.hosts[0].kill()
        await restore(deployment, 2.5)
        deployment.hosts[0].start()
        for _ in range(60):
            await asyncio.sleep(0.1)
            for host in deployment.hosts[1:]:
                servers = host.gateway.registry.servers()
                names = {server.entry.name for server in servers}
                assert not names & {gone.name, draining.name}
        for host in deployment.hosts:
            assert not host.gateway.servers.by_name[draining.name].is_usable
            assert not host.gateway.servers.by_name[gone.name].is_usable

    loop.run_until_complete(main())


def test_servers_that_started_since_the_copy_stay_in_use(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        server = deployment.servers[0]
        server.crash()
        server.deregister()
        await asyncio.sleep(2.0)
        server.name += "-2"
        await server.start()
        await asyncio.sleep(2.0)
        await restore(deployment, 2.5)
        for _ in range(60):
            await asyncio.sleep(0.1)
            for host in deployment.hosts:
                assert host.gateway.servers.by_name[server.name].is_usable

    loop.run_until_complete(main())


def test_server_whose_entry_had_expired_is_used_again(loop, tmp_path):
    """The copy has the entry already, so that no write of the server changes it."""

    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        server = deployment.servers[0]
        deployment.store.outage = Outage.RESET
        await asyncio.sleep(0.1)
        deployment.store.expire_servers()
        await asyncio.sleep(6.0)
        await restore(deployment, 6.0, 0.1)
        await asyncio.sleep(BOUNDS.server_lease + 3.0)
        for host in deployment.hosts:
            assert host.gateway.servers.by_name[server.name].is_usable

    loop.run_until_complete(main())


@pytest.mark.parametrize("restores", [1, 2])
def test_hosts_do_not_list_a_restored_store_again_and_again(loop, tmp_path, restores):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        store = deployment.store
        await change_configuration(deployment, 3)
        calls = store.request_count
        await asyncio.sleep(CALM_SECONDS)
        calm_calls = store.request_count - calls
        for _ in range(restores):
            calls = store.request_count
            await restore(deployment, CALM_SECONDS + 1.0)
            await asyncio.sleep(CALM_SECONDS)
            restore_calls = store.request_count - calls
            assert restore_calls <= calm_calls + HOSTS * RESTORE_CALLS_PER_HOST
        calls = store.request_count
        await asyncio.sleep(CALM_SECONDS)
        assert store.request_count - calls <= calm_calls + HOSTS

    loop.run_until_complete(main())


def test_hosts_write_again_what_the_store_has_lost(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        hosts = deployment.store.object_names(HOSTS_KIND)
        assert hosts
        target = f"{PATHS[RequestKind.FETCH]}{CRASH_MARK}"
        caller = deployment.make_caller()
        for _ in range(12):
            address = deployment.hosts[0].settings.caller_address
            await caller.send_request(address, RequestKind.CRASHING, target)
            await asyncio.sleep(0.5)
        quarantines = deployment.store.object_names(QUARANTINES_KIND)
        assert quarantines
        await restore(deployment, 60.0)
        assert not deployment.store.object_names(QUARANTINES_KIND)
        await asyncio.sleep(STABLE_SECONDS)
        assert deployment.store.object_names(QUARANTINES_KIND) == quarantines
        assert deployment.store.object_names(HOSTS_KIND) >= hosts

    loop.run_until_complete(main())
