import os
import signal
import time
from dataclasses import replace

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from crocusbay.coordination.config_change import (
    Accepted,
    Conflict,
    apply_change,
    make_change,
)
from crocusbay.state import HybridClock
from crocusbay.transport import PlatformClient
from crocusbay_standins.local_cluster import LocalClusterConfig, run_local_cluster
from crocusbay_standins.platform import Outage, PlatformFaults
from crocusbay_standins.tests.conftest import NO_NETWORK_DELAY_MODEL
from crocusbay_standins.tests.in_process_cluster import make_deployment

scenarios("features/handover.feature")

# A local cluster writes the index and the upstream status before the configuration.
FIRST_REVISION = 3
OBSERVATION_SECONDS = 2.0


@pytest.fixture
def cluster():
    with run_local_cluster(
        LocalClusterConfig(make_deployment(), 3, 1, NO_NETWORK_DELAY_MODEL)
    ) as cluster:
        yield cluster


def apply_deadline(cluster, author, revision, milliseconds):
    policy = replace(cluster.deployment.policy, deadline=milliseconds / 1000)
    text = f"{milliseconds}"
    deployment = replace(cluster.deployment, policy=policy, questionnaire=text)
    change = make_change(deployment, revision, author, "", "2026-12-04T08:00:00")

    async def run():
        client = PlatformClient(cluster.platform.startup_info["address"], HybridClock())
        try:
            return await apply_change(client, deployment, revision, change)
        finally:
            await client.close()

    return anyio.run(run)


def current_deadlines_ms(cluster):
    milliseconds = []
    for host in cluster.host_by_name:
        url = f"{cluster.host_url(host)}/deployments/hemtape/search?q=a"
        milliseconds.append(cluster.http.get(url).json().get("deadline_ms"))
    return milliseconds


def wait_for_deadline(cluster, milliseconds, seconds):
    timeout_at = time.monotonic() + seconds
    while set(current_deadlines_ms(cluster)) != {milliseconds}:
        assert time.monotonic() < timeout_at
        time.sleep(0.02)


@given("three hosts that serve the deployment")
def hosts_serve(cluster):
    wait_for_deadline(cluster, 5000, 20)


@given("the platform's response to the next write is lost")
def lose_next_write_response(cluster):
    cluster.call_control(cluster.platform, "faults", PlatformFaults(lose_answers=1))


@given(parsers.parse("the day shift has applied a deadline of {milliseconds:d} ms"))
def apply_and_wait(cluster, milliseconds):
    apply_day_shift_change(cluster, milliseconds)
    wait_for_deadline(cluster, milliseconds, 5)


@when(parsers.parse("the day shift applies a deadline of {milliseconds:d} ms"))
def apply_day_shift_change(cluster, milliseconds):
    result = apply_deadline(cluster, "day", FIRST_REVISION, milliseconds)
    assert isinstance(result, Accepted)


@when("the platform refuses all calls")
def refuse_platform_calls(cluster):
    cluster.call_control(
        cluster.platform, "faults", PlatformFaults(outage=Outage.REFUSE)
    )


@when("a host is killed")
def kill_host(cluster):
    cluster.host_by_name.pop("host-2").kill()


@when("a host is paused and resumed")
def pause_and_resume_host(cluster):
    process = cluster.host_by_name["host-2"].process
    os.kill(process.pid, signal.SIGSTOP)
    time.sleep(1.0)
    os.kill(process.pid, signal.SIGCONT)


@when("the night shift applies an older questionnaire")
def apply_older_questionnaire(cluster):
    result = apply_deadline(cluster, "night", FIRST_REVISION, 700)
    assert isinstance(result, Conflict)
    assert result.changes[0].author == "day"


@then(parsers.parse("every host that runs keeps a deadline of {milliseconds:d} ms"))
def deadline_is_kept(cluster, milliseconds):
    until = time.monotonic() + OBSERVATION_SECONDS
    while time.monotonic() < until:
        assert set(current_deadlines_ms(cluster)) == {milliseconds}


@then(
    parsers.parse(
        "every host that runs has a deadline of {milliseconds:d} ms "
        "within {seconds:d} seconds"
    )
)
def deadline_is_reached(cluster, milliseconds, seconds):
    wait_for_deadline(cluster, milliseconds, seconds)
