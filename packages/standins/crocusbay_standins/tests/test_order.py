import json

import anyio
import pytest

from crocusbay.coordination import Context, OrderCoordinator, OrderIdConflictError
from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay.state.keys import order_key
from crocusbay.state.order import OrderState
from crocusbay_standins.platform import Outage
from crocusbay_standins.tests.in_process_cluster import (
    run_in_process_cluster,
    wait_until,
)


def stored_state(world, order="o1"):
    stored = world.platform.by_key.get(order_key("hemtape", order))
    return json.loads(bytes(stored.value))["state"] if stored else None


def make_second_desk(world):
    context = Context(
        "host-2",
        "sofia-2",
        world.clock,
        world.timers,
        world.timeline,
        world.metrics,
    )
    return OrderCoordinator(world.client, context, world.tasks)


async def test_order_resent_to_another_host_runs_once():
    async with run_in_process_cluster() as world:
        first = await world.send_order()
        await wait_until(lambda: stored_state(world) == OrderState.RAN)
        resent = await world.send_order(order_desk=make_second_desk(world))
        assert isinstance(first, Ran)
        assert resent.answer.body == first.answer.body
        assert world.order_run_count("o1") == 1


async def test_order_sent_concurrently_to_many_hosts_runs_once():
    async with run_in_process_cluster() as world:
        verdicts = []

        async def send():
            verdicts.append(await world.send_order(order_desk=make_second_desk(world)))

        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(send)
        assert world.order_run_count("o1") == 1
        assert sum(isinstance(verdict, Ran) for verdict in verdicts) >= 1
        assert not any(isinstance(verdict, NotRun) for verdict in verdicts)


async def test_order_id_reused_with_other_content_is_an_error():
    async with run_in_process_cluster() as world:
        await world.send_order(body=b'{"tanks":1}')
        with pytest.raises(OrderIdConflictError):
            await world.send_order(body=b'{"tanks":2}')
        assert world.order_run_count("o1") == 1


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_order_runs_once_when_platform_responses_are_lost(lost):
    async with run_in_process_cluster() as world:
        world.set_platform_faults(lose_answers=lost)
        assert isinstance(await world.send_order(), Ran)
        await wait_until(lambda: stored_state(world) == OrderState.RAN)
        await world.send_order()
        assert world.order_run_count("o1") == 1


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.HANG])
async def test_order_during_an_outage_is_not_run_and_can_be_resent(outage):
    async with run_in_process_cluster() as world:
        world.set_platform_faults(outage=outage)
        verdict = await world.send_order()
        assert isinstance(verdict, NotRun)
        assert verdict.cause is Cause.PLATFORM_UNAVAILABLE
        assert verdict.retry_after > 0
        assert world.order_run_count("o1") == 0
        world.set_platform_faults(outage=Outage.NONE)
        assert isinstance(await world.send_order(), Ran)
        assert world.order_run_count("o1") == 1


async def test_order_record_written_without_a_response_becomes_not_run():
    async with run_in_process_cluster() as world:
        world.set_platform_faults(lose_answers=1)
        write = world.client.write

        async def write_then_fail(*arguments):
            result = await write(*arguments)
            world.set_platform_faults(outage=Outage.REFUSE)
            return result

        world.client.write = write_then_fail
        verdict = await world.send_order()
        assert isinstance(verdict, NotRun)
        assert stored_state(world) == OrderState.STARTED
        world.client.write = write
        world.set_platform_faults(outage=Outage.NONE)
        await wait_until(lambda: stored_state(world) == OrderState.NOT_RUN)
        assert world.order_run_count("o1") == 0
        assert isinstance(await world.send_order(), Ran)
        assert world.order_run_count("o1") == 1


async def test_result_of_an_order_is_recorded_after_an_outage():
    async with run_in_process_cluster() as world:
        send = world.desk._send

        async def send_then_fail(*arguments):
            verdict = await send(*arguments)
            world.set_platform_faults(outage=Outage.REFUSE)
            return verdict

        world.desk._send = send_then_fail
        assert isinstance(await world.send_order(), Ran)
        assert stored_state(world) == OrderState.STARTED
        world.set_platform_faults(outage=Outage.NONE)
        await wait_until(lambda: stored_state(world) == OrderState.RAN)
        assert isinstance(await world.send_order(), Ran)
        assert world.order_run_count("o1") == 1


async def test_order_that_crashes_a_server_may_have_run():
    async with run_in_process_cluster() as world:
        world.set_faults(*world.servers, crash_on="o1")
        verdict = await world.send_order()
        assert verdict.cause is Cause.RESET
        assert isinstance(verdict, MayHaveRun)
        await wait_until(lambda: stored_state(world) == OrderState.UNKNOWN)
        for _ in range(3):
            assert isinstance(await world.send_order(), MayHaveRun)
        assert world.sum_counts("crashes") == 1


@pytest.mark.parametrize("faults", [{"is_draining": True}, {"is_shedding": True}])
async def test_refused_order_is_sent_to_another_server(faults):
    async with run_in_process_cluster() as world:
        world.set_faults("orders.1", "orders.2", **faults)
        assert isinstance(await world.send_order(), Ran)
        assert world.order_run_count("o1") == 1


async def test_order_refused_by_every_server_is_not_run():
    async with run_in_process_cluster() as world:
        world.set_faults(*world.server_names("orders"), is_shedding=True)
        verdict = await world.send_order()
        assert isinstance(verdict, NotRun)
        await wait_until(lambda: stored_state(world) == OrderState.NOT_RUN)
        world.set_faults(*world.server_names("orders"))
        await anyio.sleep(0.05)
        assert isinstance(await world.send_order(), Ran)
        assert world.order_run_count("o1") == 1


async def test_response_after_the_deadline_answers_the_resent_order():
    async with run_in_process_cluster() as world:
        world.set_faults(*world.server_names("orders"), late_ms=300.0)
        verdict = await world.send_order(seconds=0.1)
        assert verdict.cause is Cause.DEADLINE
        assert isinstance(verdict, MayHaveRun)
        await wait_until(lambda: stored_state(world) == OrderState.RAN)
        assert isinstance(await world.send_order(), Ran)
        assert world.order_run_count("o1") == 1


async def test_order_paused_past_its_deadline_is_not_sent():
    async with run_in_process_cluster() as world:
        write = world.client.write

        async def write_then_pause(*arguments):
            result = await write(*arguments)
            await anyio.sleep(0.3)
            return result

        world.client.write = write_then_pause
        verdict = await world.send_order(seconds=0.1)
        world.client.write = write
        assert isinstance(verdict, NotRun)
        assert world.order_run_count("o1") == 0
        await wait_until(lambda: stored_state(world) == OrderState.NOT_RUN)
        assert isinstance(
            await world.send_order(order_desk=make_second_desk(world)), Ran
        )
        assert world.order_run_count("o1") == 1


async def test_order_is_answered_by_its_deadline_while_the_platform_hangs():
    async with run_in_process_cluster() as world:
        world.set_platform_faults(outage=Outage.HANG)
        with anyio.fail_after(1.5):
            verdict = await world.send_order(seconds=0.3)
        assert isinstance(verdict, NotRun)
        assert verdict.cause is Cause.PLATFORM_UNAVAILABLE


async def test_order_meets_its_deadline_when_all_connections_are_silent():
    async with run_in_process_cluster() as world:
        for number in range(20):
            await world.send_order(f"warm-{number}")
        for name in world.server_names("orders"):
            world.servers[name].silence_connections()
            for connection in world.runtime.servers_by_name[name].pool._connections:
                connection.last_answer_at -= 60.0
        assert isinstance(await world.send_order(seconds=0.3), Ran)
        assert world.order_run_count("o1") == 1
