import time

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


def _wait_until_started(host):
    """Wait until a host has opened its last port, or has ended."""
    log = host.folder / f"{host.name}.log"
    timeout_at = time.monotonic() + START_TIMEOUT_SECONDS
    while host.is_running and b'"started"' not in log.read_bytes():
        assert time.monotonic() < timeout_at
        time.sleep(0.02)


class _UnusedProxy:
    address = "127.0.0.1:1"
