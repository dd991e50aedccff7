import datetime
from dataclasses import replace

import anyio
import pytest

from crocusbay.coordination.config_change import (
    Accepted,
    Conflict,
    NotWritten,
    apply_change,
    make_change,
    read_config,
)
from crocusbay_standins.platform import Outage
from crocusbay_standins.tests.in_process_cluster import (
    make_deployment,
    run_in_process_cluster,
)


async def apply_deadline(cluster, author, revision=0, deadline=5.0):
    deployment = make_deployment(deadline=deadline)
    deployment = replace(deployment, questionnaire=f"{deadline}")
    time = datetime.datetime(2026, 12, 4).isoformat()
    change = make_change(deployment, revision, author, "a note", time)
    return await apply_change(cluster.client, deployment, revision, change)


async def test_one_of_concurrent_changes_is_accepted_and_shown_to_the_others():
    async with run_in_process_cluster() as cluster:
        results = {}

        async def apply(author):
            results[author] = await apply_deadline(cluster, author)

        async with anyio.create_task_group() as tasks:
            for author in ("day", "night", "evening"):
                tasks.start_soon(apply, author)
        accepted = [name for name, r in results.items() if isinstance(r, Accepted)]
        assert len(accepted) == 1
        for author, result in results.items():
            if author not in accepted:
                assert isinstance(result, Conflict)
                assert result.changes[0].author == accepted[0]


async def test_change_based_on_an_older_revision_is_refused():
    async with run_in_process_cluster() as cluster:
        first = await apply_deadline(cluster, "day")
        second = await apply_deadline(cluster, "night", first.revision, deadline=4.0)
        stale = await apply_deadline(cluster, "evening", first.revision, deadline=3.0)
        assert isinstance(stale, Conflict)
        assert [each.author for each in stale.changes] == ["night", "day"]
        config = await read_config(cluster.client, "hemtape")
        assert config.revision == second.revision
        assert config.deployment.policy.deadline == 4.0


@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_write_response_is_resolved_by_reading_back(lost):
    async with run_in_process_cluster() as cluster:
        cluster.set_platform_faults(lose_answers=lost)
        result = await apply_deadline(cluster, "day")
        assert result == Accepted(1, was_confirmed=True)
        config = await read_config(cluster.client, "hemtape")
        assert len(config.deployment.history) == 1


async def test_resent_change_is_accepted_after_a_later_change():
    async with run_in_process_cluster() as cluster:
        first = await apply_deadline(cluster, "day")
        second = await apply_deadline(cluster, "night", first.revision, deadline=4.0)
        resent = await apply_deadline(cluster, "day")
        assert resent == Accepted(second.revision, was_confirmed=True)


async def test_change_during_an_outage_is_not_written():
    async with run_in_process_cluster() as cluster:
        cluster.set_platform_faults(outage=Outage.REFUSE)
        assert isinstance(await apply_deadline(cluster, "day"), NotWritten)
        assert cluster.platform.object_by_key == {}
