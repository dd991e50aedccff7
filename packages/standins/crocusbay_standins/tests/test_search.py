from dataclasses import replace

import anyio
import pytest

from crocusbay.state import Cause, EventKind, NotRun, Ran
from crocusbay_standins.tests.in_process_cluster import (
    NO_NETWORK_DELAY_MODEL,
    make_snapshot,
    run_in_process_cluster,
    wait_until,
)


def event_kinds(cluster):
    return [event.kind for event in cluster.timeline.events()]


def hit_texts(result):
    return {hit.text for hit in result.hits}


async def test_answer_covers_every_shard_of_one_snapshot():
    async with run_in_process_cluster() as cluster:
        result = (await cluster.search("satin")).response
        assert result.snapshot == 1
        assert result.coverage.is_complete
        assert result.coverage.documents_answered == 40
        assert hit_texts(result) == {"satin at snapshot 1"}


async def test_services_may_hold_several_shards_or_none():
    async with run_in_process_cluster() as cluster:
        snapshot = make_snapshot(cluster.deployment, 2)
        first = snapshot.shards[0].service
        moved = [replace(shard, service=first) for shard in snapshot.shards[:3]]
        cluster.install_snapshots(
            replace(snapshot, shards=(*moved, snapshot.shards[3]))
        )
        coverage = (await cluster.search()).response.coverage
        assert (coverage.shards_answered, coverage.shards_total) == (4, 4)
        assert cluster.sum_counts("requests") == 2


@pytest.mark.parametrize(
    ("faults", "cause"),
    [
        ({"is_draining": True}, Cause.NO_UPSTREAM),
        ({"is_shedding": True}, Cause.SHED),
        ({"late_ms": 10_000.0}, Cause.DEADLINE),
        ({"stale_snapshot": True}, Cause.WRONG_SNAPSHOT),
        ({"cross_answers": 1_000}, Cause.RESPONSE_MISMATCH),
    ],
)
async def test_missing_service_is_reported_with_its_cause(faults, cause):
    async with run_in_process_cluster() as cluster:
        await cluster.search()
        cluster.set_faults(*cluster.server_names("catalogue-2"), **faults)
        verdict = await cluster.search(seconds=0.5)
        coverage = verdict.response.coverage
        assert (coverage.shards_answered, coverage.shards_total) == (3, 4)
        assert coverage.documents_answered == 30
        assert [m.service for m in coverage.missing] == ["catalogue-2"]
        if cause is not Cause.NO_UPSTREAM:
            assert coverage.missing[0].cause is cause


@pytest.mark.parametrize(
    "faults",
    [
        {"is_draining": True},
        {"is_shedding": True},
        {"late_ms": 10_000.0},
        {"stale_snapshot": True},
        {"cross_answers": 1_000},
    ],
)
async def test_one_faulty_replica_does_not_reduce_coverage(faults):
    async with run_in_process_cluster() as cluster:
        cluster.set_faults("catalogue-2.1", **faults)
        for number in range(6):
            result = (await cluster.search(f"q{number}")).response
            assert result.coverage.is_complete
            assert hit_texts(result) == {f"q{number} at snapshot 1"}


async def test_search_without_any_answer_is_not_run():
    async with run_in_process_cluster() as cluster:
        cluster.set_faults(*cluster.servers, is_draining=True)
        verdict = await cluster.search(seconds=0.5)
        assert isinstance(verdict, NotRun)
        assert verdict.retry_after > 0


async def test_search_without_an_index_is_not_run():
    async with run_in_process_cluster() as cluster:
        cluster.install_snapshots()
        verdict = await cluster.search()
        assert verdict.cause is Cause.NO_INDEX


async def test_search_restarts_when_its_snapshot_is_retired():
    async with run_in_process_cluster() as cluster:
        old = make_snapshot(cluster.deployment, 1)
        new = make_snapshot(cluster.deployment, 2, service_offset=1)
        cluster.install_snapshots(old, new)
        cluster.install_snapshots(new, publish=False)
        cluster.runtime.mark_snapshot_missing(2)
        result = (await cluster.search("lace")).response
        assert result.snapshot == 2
        assert result.coverage.is_complete
        assert hit_texts(result) == {"lace at snapshot 2"}
        assert EventKind.SNAPSHOT_RESTART in event_kinds(cluster)


async def test_search_uses_the_older_snapshot_during_a_rollout():
    async with run_in_process_cluster() as cluster:
        old = make_snapshot(cluster.deployment, 1)
        new = make_snapshot(cluster.deployment, 2, service_offset=1)
        cluster.install_snapshots(old, new)
        cluster.install_snapshots(
            old, publish=False, at=cluster.server_names("catalogue-3")
        )
        result = (await cluster.search("lace")).response
        assert result.snapshot == 1
        assert hit_texts(result) == {"lace at snapshot 1"}
        assert result.coverage.is_complete


async def test_answers_use_one_snapshot_during_repartitioning():
    async with run_in_process_cluster() as cluster:
        snapshots = [make_snapshot(cluster.deployment, 1)]
        cluster.install_snapshots(*snapshots)
        repartitioned = anyio.Event()
        results = []

        async def keep_searching(name):
            while not repartitioned.is_set():
                results.append(((await cluster.search(name)).response, name))

        async def repartition():
            for version in range(2, 12):
                newer = make_snapshot(
                    cluster.deployment, version, service_offset=version
                )
                cluster.install_snapshots(*snapshots[-2:], newer, publish=False)
                cluster.install_snapshots(*snapshots[-1:], newer)
                snapshots.append(newer)
                await anyio.sleep(0.02)
            repartitioned.set()

        async with anyio.create_task_group() as tasks:
            for name in ("a", "b", "c"):
                tasks.start_soon(keep_searching, name)
            tasks.start_soon(repartition)
        assert len({result.snapshot for result, _ in results}) > 3
        for result, name in results:
            assert hit_texts(result) <= {f"{name} at snapshot {result.snapshot}"}
            assert result.coverage.is_complete


async def test_mismatched_responses_do_not_reach_other_callers():
    async with run_in_process_cluster() as cluster:
        results = {}

        async def search(name):
            results[name] = await cluster.search(name)

        cluster.set_faults(*cluster.servers, cross_answers=2)
        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(search, f"q{number}")
        for name, verdict in results.items():
            if isinstance(verdict, Ran):
                assert hit_texts(verdict.response) <= {f"{name} at snapshot 1"}


async def test_straggler_is_hedged_and_cancelled():
    async with run_in_process_cluster(hedge_ratio=1.0) as cluster:
        for _ in range(10):
            await cluster.search()
        for name in ("catalogue-1.1", "catalogue-2.2"):
            cluster.set_faults(name, late_ms=2_000.0)
            cluster.runtime.servers_by_name[name].latency.mean = 0.0
        started = cluster.timers.now()
        for _ in range(5):
            assert (await cluster.search()).response.coverage.is_complete
        assert cluster.timers.now() - started < 2.0
        assert EventKind.HEDGE in event_kinds(cluster)
        await wait_until(lambda: cluster.sum_counts("cancelled") > 0)


async def test_hedges_stay_within_the_configured_ratio():
    async with run_in_process_cluster(hedge_ratio=0.05) as cluster:
        cluster.runtime.hedge_budget.tokens = 0.0
        cluster.set_faults(*cluster.server_names("catalogue-1"), late_ms=60.0)
        for _ in range(50):
            await cluster.search()
        assert event_kinds(cluster).count(EventKind.HEDGE) <= 0.05 * 4 * 50


async def test_silent_connections_do_not_reduce_coverage():
    async with run_in_process_cluster(hedge_ratio=1.0) as cluster:
        for _ in range(5):
            await cluster.search()
        for name in cluster.servers:
            if name.endswith(".1"):
                cluster.servers[name].silence_connections()
        for _ in range(5):
            assert (await cluster.search()).response.coverage.is_complete


async def test_leaving_server_receives_no_new_requests():
    async with run_in_process_cluster() as cluster:
        await cluster.search()
        cluster.publish_upstreams(leaving={"catalogue-1.1"})
        before = cluster.sum_counts("requests", "catalogue-1.1")
        for _ in range(10):
            assert (await cluster.search()).response.coverage.is_complete
        assert cluster.sum_counts("requests", "catalogue-1.1") == before


async def test_draining_server_not_yet_listed_receives_at_most_one_request():
    async with run_in_process_cluster() as cluster:
        cluster.set_faults("catalogue-1.1", is_draining=True)
        for _ in range(10):
            assert (await cluster.search()).response.coverage.is_complete
        assert cluster.sum_counts("requests", "catalogue-1.1") <= 1


@pytest.mark.parametrize("search_services", [2, 8])
async def test_search_that_crashes_servers_is_quarantined(search_services):
    async with run_in_process_cluster(search_services=search_services) as cluster:
        await cluster.search("harmless")
        cluster.set_faults(*cluster.servers, crash_on="poison")
        for _ in range(5):
            verdict = await cluster.search("poison")
            assert isinstance(verdict, NotRun)
        assert verdict.cause is Cause.QUARANTINED
        assert cluster.sum_counts("crashes") <= search_services
        result = (await cluster.search("harmless")).response
        assert result.coverage.is_complete


async def test_document_that_crashes_servers_is_quarantined():
    async with run_in_process_cluster() as cluster:
        cluster.set_faults(*cluster.servers, crash_on="poison")
        for _ in range(5):
            verdict = await cluster.fetch_document("poison")
        assert verdict.cause is Cause.QUARANTINED
        assert cluster.sum_counts("crashes") <= 2
        assert isinstance(await cluster.fetch_document("fine"), Ran)


async def test_crash_of_one_server_does_not_quarantine_the_search():
    async with run_in_process_cluster() as cluster:
        await cluster.search("victim")
        cluster.set_faults("catalogue-1.1", "catalogue-1.2", crash_on="tape")
        cluster.set_faults("catalogue-1.2")
        for _ in range(4):
            assert (await cluster.search("tape")).response.coverage.is_complete


async def test_restarted_servers_are_used_again():
    model = replace(NO_NETWORK_DELAY_MODEL, restart_seconds=0.2)
    async with run_in_process_cluster(model=model) as cluster:
        cluster.set_faults(*cluster.servers, crash_on="poison")
        await cluster.search("poison")
        cluster.set_faults(*cluster.servers)
        await anyio.sleep(0.3)
        with anyio.fail_after(10):
            while True:
                verdict = await cluster.search("fine")
                if isinstance(verdict, Ran) and verdict.response.coverage.is_complete:
                    break


async def test_all_connections_silent_at_once_do_not_reduce_coverage():
    async with run_in_process_cluster(deadline=2.0) as cluster:
        for _ in range(5):
            await cluster.search()
        for server in cluster.servers.values():
            server.silence_connections()
        results = []

        async def search():
            results.append(await cluster.search())

        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(search)
        for _ in range(5):
            await search()
        assert all(isinstance(result, Ran) for result in results)
        assert all(result.response.coverage.is_complete for result in results)


async def test_document_requests_succeed_despite_silent_connections():
    async with run_in_process_cluster() as cluster:
        for number in range(10):
            await cluster.fetch_document(f"d{number}")
        for server in cluster.servers.values():
            server.silence_connections()
        for number in range(10):
            assert isinstance(
                await cluster.fetch_document(f"d{number}", seconds=2.0), Ran
            )


async def test_loss_of_many_servers_does_not_reduce_coverage():
    async with run_in_process_cluster(search_services=20) as cluster:
        await cluster.search()
        cluster.runtime.retry_budget.tokens = 0.0
        stopped = [name for name in cluster.servers if name.endswith(".1")]
        for name in stopped:
            cluster.servers[name].crash()
        servers = cluster.runtime.servers_by_name
        pools = [servers[name].pool for name in stopped]
        await wait_until(lambda: not any(pool.open_connections for pool in pools))
        for _ in range(10):
            result = await cluster.search()
            assert isinstance(result, Ran), result
            assert result.response.coverage.is_complete


async def test_servers_that_reset_new_connections_do_not_reduce_coverage():
    async with run_in_process_cluster(search_services=20) as cluster:
        await cluster.search()
        cluster.runtime.retry_budget.tokens = 0.0
        servers = cluster.runtime.servers_by_name
        for name, server in servers.items():
            server.latency.add(
                0.001 if name.endswith(".1") else 1.0, cluster.timers.now()
            )
        stopping = [name for name in servers if name.endswith(".1")]
        for name in stopping:
            cluster.servers[name].reset_connections()
        pools = [servers[name].pool for name in stopping]
        await wait_until(lambda: not any(pool.open_connections for pool in pools))
        for _ in range(10):
            result = await cluster.search()
            assert isinstance(result, Ran), result
            assert result.response.coverage.is_complete


async def test_silent_connections_of_some_services_do_not_reduce_coverage():
    async with run_in_process_cluster(deadline=2.0) as cluster:
        for _ in range(5):
            await cluster.search()
        cluster.runtime.hedge_budget.tokens = 0.0
        for name in cluster.server_names("catalogue-1") + cluster.server_names(
            "catalogue-2"
        ):
            cluster.servers[name].silence_connections()
        for _ in range(5):
            assert (await cluster.search()).response.coverage.is_complete
