"""Callers see no response that a server did not send to its end."""

import asyncio
import itertools
import json
import random
from enum import Enum

import pytest

from crocusbay.state import split_address
from crocusbay_gateway.state import Configuration
from crocusbay_platform.names import HTTP_CONVENTIONS
from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.soak.callers import Outcome, RequestKind
from crocusbay_standins.soak.checks import (
    Observations,
    check_at_most_once,
    check_responses,
)
from crocusbay_standins.soak.deployment import PATHS, make_routes, make_services
from crocusbay_standins.soak.servers import (
    StandInServer,
    make_records,
    make_signature,
)

DATA_CENTRES = ("a", "b", "c")
TIMEOUT_SECONDS = 3.0
# Servers that fail are used again by then.
PAUSE_SECONDS = 0.2
# The bytes before a reset arrive before it.
RESET_DELAY_SECONDS = 0.01
# More than there are cuts.
REQUESTS = 150


class Ending(Enum):
    END = "end"
    RESET = "reset"


def make_attempt_id(number):
    """Return an ID; all have the same length, and so do the responses."""
    return f"r{number:03}"


def encode_responses(server, attempt_id):
    """Return each response of a server, and where it may be cut before its end."""
    headers = b"%b: %b\r\n%b: %b\r\n" % (
        HTTP_CONVENTIONS.attempt_id,
        attempt_id.encode(),
        HTTP_CONVENTIONS.signature,
        make_signature(server.name, attempt_id),
    )
    not_run = b"%b: 1\r\n" % HTTP_CONVENTIONS.not_run
    records = b"".join(make_records(server.service, attempt_id))
    length = b"Content-Length: %d\r\n" % len(records)
    start = b"HTTP/1.1 200 OK\r\n" + headers
    refusal = b"HTTP/1.1 503 Full\r\n" + headers + not_run + length
    hints = b"HTTP/1.1 103 Early Hints\r\n" + headers
    return {
        "length": start + length + b"\r\n" + records,
        "chunked": start
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
        % (len(records), records),
        # The end of the connection ends the body, so that only the head is cut.
        "unframed": start + b"\r\n",
        "failure": b"HTTP/1.1 500 X\r\n" + headers + length + b"\r\n" + records,
        "not-run": refusal + b"\r\n" + records,
        "hints": hints + b"\r\n" + start + length + b"\r\n" + records,
        "not-run-hints": hints + not_run + b"\r\n" + start + length + b"\r\n" + records,
    }


class Cuts:
    """Cut a share of the responses, each near the end of one of its lines."""

    def __init__(self, server, share, ending):
        self.ending = ending
        self._share = share
        self._rng = random.Random(1)
        cuts = [
            (kind, offset + shift)
            for kind, data in encode_responses(server, make_attempt_id(0)).items()
            for offset in range(len(data))
            if data[offset : offset + 2] == b"\r\n"
            for shift in (1, 2, 3)
            if offset + shift < len(data)
        ]
        self._rng.shuffle(cuts)
        self._cuts = itertools.cycle(cuts)

    def cut_next(self, server, attempt_id):
        """Return the part of a response that is sent, or None if it is not cut."""
        if self._rng.random() >= self._share:
            return None
        kind, offset = next(self._cuts)
        return encode_responses(server, attempt_id)[kind][:offset]


class CuttingServer(StandInServer):
    """Server that may cut each response."""

    cuts = None

    def _write_response(self, attempt_id, writer):
        part = self.cuts and self.cuts.cut_next(self, attempt_id)
        if part is None:
            return super()._write_response(attempt_id, writer)
        writer.write(part)
        if self.cuts.ending is Ending.END:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(RESET_DELAY_SECONDS, writer.transport.abort)
        return True


async def send_and_receive(host, kind, attempt_id):
    """Return what a caller receives on a connection until its end."""
    ip, port = split_address(host.settings.caller_address)
    reader, writer = await asyncio.open_connection(ip, port)
    method = "POST" if kind is RequestKind.ORDER else "GET"
    writer.write(
        f"{method} {PATHS[kind]}{attempt_id} HTTP/1.1\r\nHost: soak.example\r\n"
        f"{HTTP_CONVENTIONS.attempt_id.decode()}: {attempt_id}\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    async with asyncio.timeout(TIMEOUT_SECONDS):
        received = await reader.read(-1)
    writer.close()
    return received


def read_log(host):
    lines = (host.folder / f"{host.name}.log").read_bytes().splitlines()
    return [json.loads(line) for line in lines]


def parse_reply(data):
    """Return status, headers and body of the only message in the data."""
    head, _, body = data.partition(b"\r\n\r\n")
    start, *lines = head.split(b"\r\n")
    headers = dict(line.split(b": ", 1) for line in lines)
    headers = {name.lower(): value for name, value in headers.items()}
    assert int(headers[b"content-length"]) == len(body), data
    return int(start.split(b" ")[1]), headers, body


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("share", [0.3, 1.0])
@pytest.mark.parametrize(
    "kind", [RequestKind.FETCH, RequestKind.ORDER, RequestKind.GATHER]
)
def test_caller_gets_whole_replies_while_servers_cut_responses(
    loop, tmp_path, kind, share, ending
):
    async def main():
        deployment = Deployment(tmp_path, 3, DATA_CENTRES, server_type=CuttingServer)
        await deployment.start()
        # It has no servers in its data centre, so it gathers through relays.
        host = deployment.hosts[2]
        cuts = Cuts(deployment.servers[0], share, ending)
        for server in deployment.servers:
            server.cuts = cuts
        for number in range(REQUESTS):
            attempt_id = make_attempt_id(number)
            sent_at = loop.time()
            reply = parse_reply(await send_and_receive(host, kind, attempt_id))
            path = f"{PATHS[kind]}{attempt_id}"
            deployment.outcomes.append(
                Outcome(attempt_id, kind, host.name, sent_at, loop.time(), *reply, path)
            )
            await asyncio.sleep(PAUSE_SECONDS)
        observations = Observations(
            deployment.outcomes,
            deployment.received_requests,
            [(0.0, Configuration(1, make_routes(0), make_services()))],
            [],
            lambda host, at: True,
        )
        assert check_responses(observations) == []
        assert check_at_most_once(observations) == []
        statuses = {outcome.status for outcome in deployment.outcomes}
        if share == 1.0:
            assert statuses == {502}
        else:
            assert {200} <= statuses <= {200, 502}
        if kind is RequestKind.GATHER:
            assert any(line.get("relayed") for line in read_log(host))

    loop.run_until_complete(main())
