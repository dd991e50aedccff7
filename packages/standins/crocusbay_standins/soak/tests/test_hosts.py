import time

from crocusbay_standins.soak import hosts as hosts_module
from crocusbay_standins.soak.hosts import ProcessHost, make_hosts

START_TIMEOUT_SECONDS = 20.0


def test_running_host_is_not_started_twice(tmp_path):
    (host,) = make_hosts(
        ProcessHost, 1, ["a"], tmp_path, [_UnusedProxy()], third_octet=251
    )
    try:
        host.start()
        first = host.process
        host.start()
        assert host.process is first
    finally:
        host.kill()
    assert not host.is_running


def test_hosts_of_two_soaks_may_have_the_same_address(tmp_path):
    """Two test runs on one machine draw the same addresses from their seeds."""
    hosts = []
    try:
        for name in ("first", "second"):
            folder = tmp_path / name
            folder.mkdir()
            (host,) = make_hosts(
                ProcessHost, 1, ["a"], folder, [_UnusedProxy()], third_octet=251
            )
            hosts.append(host)
            host.start()
            _wait_until_started(host)
        assert all(host.is_running for host in hosts)
    finally:
        for host in hosts:
            host.kill()


def test_ports_of_a_host_differ_if_the_system_offers_one_again(tmp_path, monkeypatch):
    offered = iter([5000, 5000, 5001, 5001, 5002, 5000, 5003, 5004])
    monkeypatch.setattr(hosts_module, "find_free_port", lambda ips: next(offered))
    (host,) = make_hosts(
        ProcessHost, 1, ["a"], tmp_path, [_UnusedProxy()], third_octet=251
    )
    settings = host.settings
    addresses = {
        settings.caller_address,
        settings.readiness_address,
        settings.entry_address,
    }
    ports = {int(address.rpartition(":")[2]) for address in addresses}
    assert len(ports | {settings.peer_port, settings.metrics_port}) == 5


def _wait_until_started(host):
    """Wait until a host has opened its last port, or has ended."""
    log = host.folder / f"{host.name}.log"
    timeout_at = time.monotonic() + START_TIMEOUT_SECONDS
    while host.is_running and b'"started"' not in log.read_bytes():
        assert time.monotonic() < timeout_at
        time.sleep(0.02)


class _UnusedProxy:
    address = "127.0.0.1:1"
