import datetime
from dataclasses import replace

import anyio
import pytest

from crocusbay.coordination.change import (
    Accepted,
    NotWritten,
    Refused,
    apply_change,
    make_change,
    read_config,
)
from crocusbay_standins.platform import Outage
from crocusbay_standins.tests.world import make_deployment, running_world


async def change(world, author, revision=0, deadline=5.0):
    deployment = make_deployment(deadline=deadline)
    deployment = replace(deployment, questionnaire=f"{deadline}")
    time = datetime.datetime(2026, 12, 4).isoformat()
    made = make_change(deployment, revision, author, "a note", time)
    return await apply_change(world.client, deployment, revision, made)


async def test_racing_operators_get_one_acceptance_and_the_others_change():
    async with running_world() as world:
        results = {}

        async def apply(author):
            results[author] = await change(world, author)

        async with anyio.create_task_group() as tasks:
            for author in ("day", "night", "evening"):
                tasks.start_soon(apply, author)
        winners = [name for name, r in results.items() if isinstance(r, Accepted)]
        assert len(winners) == 1
        for author, result in results.items():
            if author not in winners:
                assert isinstance(result, Refused)
                assert result.changes[0].author == winners[0]


async def test_change_of_an_older_revision_is_refused():
    async with running_world() as world:
        first = await change(world, "day")
        second = await change(world, "night", first.revision, deadline=4.0)
        stale = await change(world, "evening", first.revision, deadline=3.0)
        assert isinstance(stale, Refused)
        assert [each.author for each in stale.changes] == ["night", "day"]
        config = await read_config(world.client, "hemtape")
        assert config.revision == second.revision
        assert config.deployment.policy.deadline == 4.0


@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_answer_is_settled_by_reading_back(lost):
    async with running_world() as world:
        world.set_platform(lose_answers=lost)
        result = await change(world, "day")
        assert result == Accepted(1, was_settled=True)
        config = await read_config(world.client, "hemtape")
        assert len(config.deployment.history) == 1


async def test_change_sent_again_after_another_came_on_top_was_accepted():
    async with running_world() as world:
        first = await change(world, "day")
        second = await change(world, "night", first.revision, deadline=4.0)
        again = await change(world, "day")
        assert again == Accepted(second.revision, was_settled=True)


async def test_change_in_an_outage_is_not_written():
    async with running_world() as world:
        world.set_platform(outage=Outage.REFUSE)
        assert isinstance(await change(world, "day"), NotWritten)
        assert world.platform.by_key == {}
