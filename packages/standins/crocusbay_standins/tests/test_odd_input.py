"""Odd objects in the platform, and odd headers, of a local cluster."""

import re
import time

import msgspec
import pytest

from crocusbay.protocol import from_json, to_json
from crocusbay.protocol.caller import HostStatus
from crocusbay.protocol.upstream import CLOCK_HEADER
from crocusbay.state import Upstream, UpstreamStatus
from crocusbay.state.keys import UPSTREAMS_PREFIX, config_key, upstreams_key
from crocusbay.transport.platform import VERSION_HEADER
from crocusbay_standins.local_cluster import LocalClusterConfig, run_local_cluster
from crocusbay_standins.simulated_server import SimulationConfig
from crocusbay_standins.tests.in_process_cluster import make_deployment

FAST_MODEL = SimulationConfig(
    service_ms=1.0, straggler_share=0.0, one_way_ms=0.5, jitter_ms=0.1
)
TIMEOUT_SECONDS = 20.0
# Within this time a change reaches every host.
CHANGE_SECONDS = 5.0
DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = "1" + "0" * 400

ODD_UPSTREAMS = {
    "nested deep": DEEP,
    "lone surrogate": b'{"name": "\\ud800"}',
    "null": b"null",
    "field nested deep": b'{"note": ' + DEEP + b"}",
    **{
        f"address {address[:12]}": to_json(
            Upstream("odd", "catalogue-1", "sofia-1", address)
        )
        for address in (
            "",
            "foo:80",
            "127.0.0.1:0",
            "127.0.0.1:65536",
            f"127.0.0.1:{HUGE}",
            "127.0.0.1:\u0661",
            "999.9.9.9:80",
        )
    },
    "missing fields": b'{"name": "odd"}',
    "long name": to_json(Upstream("n" * 100_000, "catalogue-1", "a", "127.0.0.1:9")),
}
ODD_OBJECTS = {
    "nested deep": DEEP,
    "lone surrogate": b'"\\ud800"',
    "null": b"null",
    "number": HUGE.encode(),
}
ODD_STAMPS = [
    "-",
    "x-y",
    "1-",
    f"1-{HUGE}",
    f"{HUGE}-1",
    f"1-{'9' * 5_000}",
    "\u0661-1",
]


class StoredUpstreams(msgspec.Struct):
    value: UpstreamStatus


@pytest.fixture(scope="module")
def cluster():
    config = LocalClusterConfig(make_deployment(), 2, 1, FAST_MODEL, entry_lifetime=0.5)
    with run_local_cluster(config) as cluster:
        wait_until(lambda: all(map(is_complete, hosts(cluster))))
        yield cluster


@pytest.fixture(scope="module")
def upstreams(cluster):
    content = read_object(cluster, upstreams_key("hemtape")).content
    return from_json(content, StoredUpstreams).ok.value.upstreams


def hosts(cluster):
    return [(cluster, name) for name in cluster.host_by_name]


def wait_until(condition, seconds=TIMEOUT_SECONDS):
    timeout_at = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < timeout_at, "condition was not met before the timeout"
        time.sleep(0.02)


def is_complete(host):
    cluster, name = host
    url = f"{cluster.host_url(name)}/deployments/hemtape/search?q=a"
    reply = cluster.http.get(url)
    return reply.status_code == 200 and reply.json()["is_complete"]


def object_url(cluster, key):
    return f"http://{cluster.platform.startup_info['address']}/objects/{key}"


def read_object(cluster, key):
    return cluster.http.get(object_url(cluster, key))


def object_version(cluster, key):
    # The content may be anything.
    match = re.search(rb'"version":([0-9]+)', read_object(cluster, key).content)
    return int(match[1]) if match else 0


def write_raw(cluster, key, content):
    headers = {VERSION_HEADER: str(object_version(cluster, key))}
    url = object_url(cluster, key)
    cluster.http.put(url, content=content, headers=headers).raise_for_status()


def check_hosts(cluster):
    """Check that the hosts live, serve, and follow what is written."""
    deployment = cluster.deployment
    write_raw(cluster, config_key("hemtape"), to_json(deployment))
    version = object_version(cluster, config_key("hemtape"))
    for name in cluster.host_by_name:

        def follows(name=name):
            status = cluster.http.get(f"{cluster.host_url(name)}/status").content
            versions = from_json(status, HostStatus).ok.config_versions
            return versions[config_key("hemtape")] == version

        wait_until(follows, CHANGE_SECONDS)
    assert all(map(is_complete, hosts(cluster)))
    for child in cluster.host_by_name.values():
        assert child.process.poll() is None


@pytest.mark.parametrize("odd", ODD_UPSTREAMS.values(), ids=ODD_UPSTREAMS)
def test_odd_upstream_costs_itself_alone(cluster, upstreams, odd):
    entries = [to_json(each) for each in upstreams]
    content = b'{"upstreams": [' + b", ".join([odd, *entries[1:]]) + b"]}"
    write_raw(cluster, upstreams_key("hemtape"), content)
    # The first server is out of use, since the list no longer has it.
    wait_until(
        lambda: all(
            not is_listed(cluster, name, upstreams[0].name)
            for _, name in hosts(cluster)
        ),
        CHANGE_SECONDS,
    )
    check_hosts(cluster)
    write_raw(cluster, upstreams_key("hemtape"), to_json(UpstreamStatus(upstreams)))


def is_listed(cluster, host, upstream):
    url = f"{cluster.host_url(host)}/deployments/hemtape/upstreams"
    return upstream in {each["name"] for each in cluster.http.get(url).json()}


@pytest.mark.parametrize("odd", ODD_OBJECTS.values(), ids=ODD_OBJECTS)
@pytest.mark.parametrize(
    "key", [config_key("other"), f"{UPSTREAMS_PREFIX}other", config_key("hemtape")]
)
def test_odd_object_costs_itself_alone(cluster, key, odd):
    write_raw(cluster, key, odd)
    check_hosts(cluster)


@pytest.mark.parametrize("stamp", ODD_STAMPS, ids=range(len(ODD_STAMPS)))
def test_odd_clock_header_of_a_caller(cluster, stamp):
    for name in cluster.host_by_name:
        url = f"{cluster.host_url(name)}/deployments/hemtape/search?q=a"
        cluster.http.get(url, headers={CLOCK_HEADER: stamp.encode()})
    check_hosts(cluster)
