"""Starts of real hosts of the own interface whose addresses are in use."""

import contextlib
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

HOST_PROGRAM = "from crocusbay_host.main import main; main()"
# Sends the signal before anything of the host has run.
STOPPED_HOST_PROGRAM = """
import os, signal
from crocusbay_host import main
run = main.Host.run
async def stop_and_run(host, *args):
    os.kill(os.getpid(), signal.SIGTERM)
    await run(host, *args)
main.Host.run = stop_and_run
main.main()
"""
TIMEOUT_SECONDS = 20.0
FREE_ADDRESS = "127.0.0.1:0"
# The names under which a host prints its addresses once it has started.
ADDRESS_NAMES = {"callers": "caller_address", "peers": "peer_address"}


@dataclass
class StartedHost:
    """Process of a host, and the file of its output and log."""

    process: subprocess.Popen
    output_file: Path

    def wait_for_output(self, text):
        timeout_at = time.monotonic() + TIMEOUT_SECONDS
        while text not in self.output_file.read_text():
            assert self.process.poll() is None, self.output_file.read_text()
            assert time.monotonic() < timeout_at, self.output_file.read_text()
            time.sleep(0.02)


@contextlib.contextmanager
def start_host(folder, callers=FREE_ADDRESS, peers=FREE_ADDRESS, program=HOST_PROGRAM):
    settings_file = folder / "host-1.ini"
    settings_file.write_text(
        "[host]\nname = host-1\nplace = sofia-1\n"
        f"[callers]\naddress = {callers}\nentry_lifetime = 0.2\ndrain_limit = 0.2\n"
        f"[peers]\naddress = {peers}\n"
        "[platform]\naddress = 127.0.0.1:1\n"
    )
    output_file = folder / "output"
    with output_file.open("w") as output:
        process = subprocess.Popen(
            [sys.executable, "-c", program, str(settings_file)],
            stdout=output,
            stderr=output,
        )
    try:
        yield StartedHost(process, output_file)
    finally:
        process.kill()
        process.wait()


@contextlib.contextmanager
def address_in_use():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize("purpose", ADDRESS_NAMES)
def test_host_starts_once_its_address_is_free(tmp_path, purpose):
    """Guard against hosts that end at the start, as their predecessor still listens."""
    with contextlib.ExitStack() as stack:
        held = contextlib.ExitStack()
        address = held.enter_context(address_in_use())
        stack.enter_context(held)
        host = stack.enter_context(start_host(tmp_path, **{purpose: address}))
        host.wait_for_output("not-listening")
        assert ADDRESS_NAMES[purpose] not in host.output_file.read_text()
        held.close()
        host.wait_for_output(f'"{ADDRESS_NAMES[purpose]}": "{address}"')
        host.process.send_signal(signal.SIGTERM)
        assert host.process.wait(TIMEOUT_SECONDS) == 0


@pytest.mark.parametrize("purpose", ADDRESS_NAMES)
def test_host_that_waits_for_its_address_can_be_stopped(tmp_path, purpose):
    with (
        address_in_use() as address,
        start_host(tmp_path, **{purpose: address}) as host,
    ):
        host.wait_for_output("not-listening")
        host.process.send_signal(signal.SIGTERM)
        assert host.process.wait(TIMEOUT_SECONDS) == 0


def test_host_that_is_stopped_as_it_starts_stops_as_planned(tmp_path):
    """Guard against a signal that comes before the host listens to signals."""
    with start_host(tmp_path, program=STOPPED_HOST_PROGRAM) as host:
        assert host.process.wait(TIMEOUT_SECONDS) == 0
