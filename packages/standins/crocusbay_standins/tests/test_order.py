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


def stored_state(cluster, order="o1"):
    stored = cluster.platform.object_by_key.get(order_key("hemtape", order))
    return json.loads(bytes(stored.value))["state"] if stored else None


def make_second_coordinator(cluster):
    context = Context(
        "host-2",
        "sofia-2",
        cluster.clock,
        cluster.timers,
        cluster.timeline,
        cluster.metrics,
    )
    return OrderCoordinator(cluster.client, context, cluster.tasks)


async def test_order_resent_to_another_host_runs_once():
    async with run_in_process_cluster() as cluster:
        first = await cluster.send_order()
        await wait_until(lambda: stored_state(cluster) == OrderState.RAN)
        resent = await cluster.send_order(coordinator=make_second_coordinator(cluster))
        assert isinstance(first, Ran)
        assert resent.response.body == first.response.body
        assert cluster.order_run_count("o1") == 1


async def test_order_sent_concurrently_to_many_hosts_runs_once():
    async with run_in_process_cluster() as cluster:
        verdicts = []

        async def send():
            verdicts.append(
                await cluster.send_order(coordinator=make_second_coordinator(cluster))
            )

        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(send)
        assert cluster.order_run_count("o1") == 1
        assert sum(isinstance(verdict, Ran) for verdict in verdicts) >= 1
        assert not any(isinstance(verdict, NotRun) for verdict in verdicts)


async def test_order_id_reused_with_other_content_is_an_error():
    async with run_in_process_cluster() as cluster:
        await cluster.send_order(body=b'{"tanks":1}')
        with pytest.raises(OrderIdConflictError):
            await cluster.send_order(body=b'{"tanks":2}')
        assert cluster.order_run_count("o1") == 1


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_order_runs_once_when_platform_responses_are_lost(lost):
    async with run_in_process_cluster() as cluster:
        cluster.set_platform_faults(lose_answers=lost)
        assert isinstance(await cluster.send_order(), Ran)
        await wait_until(lambda: stored_state(cluster) == OrderState.RAN)
        await cluster.send_order()
        assert cluster.order_run_count("o1") == 1


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.HANG])
async def test_order_during_an_outage_is_not_run_and_can_be_resent(outage):
    async with run_in_process_cluster() as cluster:
        cluster.set_platform_faults(outage=outage)
        verdict = await cluster.send_order()
        assert isinstance(verdict, NotRun)
        assert verdict.cause is Cause.PLATFORM_UNAVAILABLE
        assert verdict.retry_after > 0
        assert cluster.order_run_count("o1") == 0
        cluster.set_platform_faults(outage=Outage.NONE)
        assert isinstance(await cluster.send_order(), Ran)
        assert cluster.order_run_count("o1") == 1


async def test_order_record_written_without_a_response_becomes_not_run():
    async with run_in_process_cluster() as cluster:
        cluster.set_platform_faults(lose_answers=1)
        write = cluster.client.write

        async def write_then_fail(*arguments):
            result = await write(*arguments)
            cluster.set_platform_faults(outage=Outage.REFUSE)
            return result

        cluster.client.write = write_then_fail
        verdict = await cluster.send_order()
        assert isinstance(verdict, NotRun)
        assert stored_state(cluster) == OrderState.STARTED
        cluster.client.write = write
        cluster.set_platform_faults(outage=Outage.NONE)
        await wait_until(lambda: stored_state(cluster) == OrderState.NOT_RUN)
        assert cluster.order_run_count("o1") == 0
        assert isinstance(await cluster.send_order(), Ran)
        assert cluster.order_run_count("o1") == 1


async def test_result_of_an_order_is_recorded_after_an_outage():
    async with run_in_process_cluster() as cluster:
        send = cluster.order_coordinator._send

        async def send_then_fail(*arguments):
            verdict = await send(*arguments)
            cluster.set_platform_faults(outage=Outage.REFUSE)
            return verdict

        cluster.order_coordinator._send = send_then_fail
        assert isinstance(await cluster.send_order(), Ran)
        assert stored_state(cluster) == OrderState.STARTED
        cluster.set_platform_faults(outage=Outage.NONE)
        await wait_until(lambda: stored_state(cluster) == OrderState.RAN)
        assert isinstance(await cluster.send_order(), Ran)
        assert cluster.order_run_count("o1") == 1


async def test_order_that_crashes_a_server_may_have_run():
    async with run_in_process_cluster() as cluster:
        cluster.set_faults(*cluster.servers, crash_on="o1")
        verdict = await cluster.send_order()
        assert verdict.cause is Cause.RESET
        assert isinstance(verdict, MayHaveRun)
        await wait_until(lambda: stored_state(cluster) == OrderState.UNKNOWN)
        for _ in range(3):
            assert isinstance(await cluster.send_order(), MayHaveRun)
        assert cluster.sum_counts("crashes") == 1


@pytest.mark.parametrize("faults", [{"is_draining": True}, {"is_shedding": True}])
async def test_refused_order_is_sent_to_another_server(faults):
    async with run_in_process_cluster() as cluster:
        cluster.set_faults("orders.1", "orders.2", **faults)
        assert isinstance(await cluster.send_order(), Ran)
        assert cluster.order_run_count("o1") == 1


async def test_order_refused_by_every_server_is_not_run():
    async with run_in_process_cluster() as cluster:
        cluster.set_faults(*cluster.server_names("orders"), is_shedding=True)
        verdict = await cluster.send_order()
        assert isinstance(verdict, NotRun)
        await wait_until(lambda: stored_state(cluster) == OrderState.NOT_RUN)
        cluster.set_faults(*cluster.server_names("orders"))
        await anyio.sleep(0.05)
        assert isinstance(await cluster.send_order(), Ran)
        assert cluster.order_run_count("o1") == 1


async def test_response_after_the_deadline_answers_the_resent_order():
    async with run_in_process_cluster() as cluster:
        cluster.set_faults(*cluster.server_names("orders"), late_ms=300.0)
        verdict = await cluster.send_order(seconds=0.1)
        assert verdict.cause is Cause.DEADLINE
        assert isinstance(verdict, MayHaveRun)
        await wait_until(lambda: stored_state(cluster) == OrderState.RAN)
        assert isinstance(await cluster.send_order(), Ran)
        assert cluster.order_run_count("o1") == 1


async def test_order_paused_past_its_deadline_is_not_sent():
    async with run_in_process_cluster() as cluster:
        write = cluster.client.write

        async def write_then_pause(*arguments):
            result = await write(*arguments)
            await anyio.sleep(0.3)
            return result

        cluster.client.write = write_then_pause
        verdict = await cluster.send_order(seconds=0.1)
        cluster.client.write = write
        assert isinstance(verdict, NotRun)
        assert cluster.order_run_count("o1") == 0
        await wait_until(lambda: stored_state(cluster) == OrderState.NOT_RUN)
        assert isinstance(
            await cluster.send_order(coordinator=make_second_coordinator(cluster)), Ran
        )
        assert cluster.order_run_count("o1") == 1


async def test_order_is_answered_by_its_deadline_while_the_platform_hangs():
    async with run_in_process_cluster() as cluster:
        cluster.set_platform_faults(outage=Outage.HANG)
        with anyio.fail_after(1.5):
            verdict = await cluster.send_order(seconds=0.3)
        assert isinstance(verdict, NotRun)
        assert verdict.cause is Cause.PLATFORM_UNAVAILABLE


async def test_order_meets_its_deadline_when_all_connections_are_silent():
    async with run_in_process_cluster() as cluster:
        for number in range(20):
            await cluster.send_order(f"warm-{number}")
        for name in cluster.server_names("orders"):
            cluster.servers[name].silence_connections()
            for connection in cluster.runtime.servers_by_name[name].pool._connections:
                connection.last_response_at -= 60.0
        assert isinstance(await cluster.send_order(seconds=0.3), Ran)
        assert cluster.order_run_count("o1") == 1
