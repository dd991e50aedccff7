"""A host sends other hosts a message with an odd value in any of its fields."""

import asyncio
import zlib
from itertools import count

import msgspec
import pytest

from crocusbay.state import split_address
from crocusbay_gateway.protocol import (
    CrashReport,
    HandoverCancel,
    HandoverRequest,
    Heartbeat,
    KnownHost,
    RelayCancel,
    RelayedSubRequest,
    RelayQuery,
    ServerReport,
    ViewQuery,
    ViewResponse,
)
from crocusbay_gateway.state import Configuration, HostStatus, ServerEntry
from crocusbay_standins.emulator.tests.deployment import Deployment
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.deployment import make_routes, make_services
from crocusbay_standins.soak.hosts import BOUNDS

HOSTS = 3
PEER_ADDRESS = ("127.0.0.77", 7000)
PEER = "127.0.0.77:7000"
BIND_DELAY_SECONDS = 0.5
DEEP = b"\x91" * 3_000 + b"\x01"

ODD_VALUES = [
    None,
    True,
    -1,
    2**63,
    2**64 - 1,
    -(2**63),
    float("nan"),
    float("inf"),
    float("-inf"),
    1e300,
    -1e300,
    "",
    "x" * 300,
    "foo:80",
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "\u0661",
    b"\xff",
    [],
    [None],
    {},
    {"a": -1},
    {"a": float("nan")},
    msgspec.Raw(DEEP),
    msgspec.Raw(b"\xdd\xff\xff\xff\xff"),
    msgspec.Raw(b"\xa2\xff\xfe"),
]
# Of server entries.
ODD_FIELDS = [
    ("slots", 2**64 - 1),
    ("address", "127.0.0.9:0"),
    ("address", "foo:80"),
    ("service", "s" * 1_000),
    ("cold_time", float("nan")),
    ("place", None),
]
STATUS = HostStatus("peer", 1, 1, "a", "127.0.0.77:80", PEER, store_era=1)
CONFIGURATION = Configuration(2, make_routes(2), make_services())
VIEW = ViewResponse(
    9, 0.1, 1_000, 1_000, 0.1, CONFIGURATION, (ServerEntry("x", 1_000, "shard0"),), 1
)
REQUEST = ("a1", "GET", "/gather/1", "h.example", ((b"A", b"b"),), b"body")
QUERIES = [
    ViewQuery(1, 1, 1),
    RelayQuery(
        1, *REQUEST, 1.0, 0.05, 5, (RelayedSubRequest("shard0", "shard0/0"),), "f"
    ),
    RelayCancel(1, (0,)),
    HandoverRequest(1, *REQUEST, "127.0.0.9", 1.0),
    HandoverCancel(1),
]


def make_heartbeat(number):
    """Return a heartbeat that a host takes for newer than those with lower numbers."""
    status = msgspec.structs.replace(STATUS, heartbeat_number=number)
    return Heartbeat(
        status,
        (KnownHost(f"other-{number}", "127.0.0.78:7000", "a"),),
        (CrashReport(f"f{number}", "shard0/0", "shard0", 1, 0.5),),
        {"a": 2},
        (ServerReport("shard0/0", 1, 5.0, 0.1),),
        {"a": 1.0},
        (msgspec.structs.replace(status, name=f"remote-{number}"),),
    )


def variants(make_message):
    """Yield messages, as sent, with each odd value in place of each of their parts.

    `make_message` returns the message with a number.
    """
    numbers = count(1)
    for path in list(_paths(_sent(make_message(0)))):
        for odd in ODD_VALUES:
            message = [_sent(make_message(next(numbers)))]
            container = message
            for key in path[:-1]:
                container = container[key]
            container[path[-1]] = odd
            yield msgspec.msgpack.encode(message[0])


def _sent(message):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


def _paths(value, path=(0,)):
    """Yield the keys that lead to each part of a value, which has the first key."""
    yield path
    parts = {}
    if isinstance(value, list):
        parts = dict(enumerate(value))
    elif isinstance(value, dict):
        parts = value
    for key, part in parts.items():
        yield from _paths(part, (*path, key))


async def check_deployment(deployment, loop):
    await asyncio.sleep(BOUNDS.configuration_apply_time)
    assert [host.is_running for host in deployment.hosts] == [True] * HOSTS
    for host in deployment.hosts:
        await deployment.caller.send_request(
            host.settings.caller_address, RequestKind.GATHER
        )
    assert [outcome.status for outcome in deployment.outcomes] == [200] * HOSTS
    assert loop.unhandled_errors == []


def peer_address(host):
    return split_address(host.gateway.peering.address)


class Peer(asyncio.DatagramProtocol):
    """Send heartbeats, and answer view queries with the next of some responses."""

    def __init__(self, responses=()):
        self.responses = list(responses)
        self.queries = 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        pass

    async def start(self, loop):
        await loop.create_datagram_endpoint(lambda: self, local_addr=PEER_ADDRESS)
        await loop.create_server(lambda: ViewServer(self), *PEER_ADDRESS)


class ViewServer(asyncio.Protocol):
    def __init__(self, peer):
        self.peer = peer

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if self.peer.responses:
            self.peer.queries += 1
            self.transport.write(zlib.compress(self.peer.responses.pop()))
        self.transport.close()


def test_odd_heartbeats(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        peer = Peer()
        await peer.start(loop)
        host = deployment.hosts[0]
        for data in [DEEP, b"", *variants(make_heartbeat)]:
            peer.transport.sendto(data, peer_address(host))
            await asyncio.sleep(0.003)
        # Some of them are valid, and the sender is a member for a while.
        await asyncio.sleep(BOUNDS.configuration_apply_time)
        await check_deployment(deployment, loop)

    loop.run_until_complete(main())


@pytest.mark.parametrize("query", QUERIES, ids=lambda query: type(query).__name__)
def test_odd_queries(loop, tmp_path, query):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        address = peer_address(deployment.hosts[0])
        for data in [DEEP, b"", *variants(lambda number: query)]:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(len(data).to_bytes(4) + data)
            await asyncio.sleep(0.01)
            writer.close()
        await check_deployment(deployment, loop)

    loop.run_until_complete(main())


def test_odd_views(loop, tmp_path):
    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        responses = list(variants(lambda number: VIEW))
        peer = Peer(responses)
        await peer.start(loop)
        host = deployment.hosts[0]
        number = 0
        while peer.responses:
            # Announces servers that the host doesn't know, so that it asks for them.
            number += 1
            cursor = host.gateway.servers.cursor[0] + 1
            status = msgspec.structs.replace(
                STATUS,
                heartbeat_number=number,
                servers_revision=cursor,
                servers_seen_revision=cursor,
            )
            data = msgspec.msgpack.encode(Heartbeat(status))
            peer.transport.sendto(data, peer_address(host))
            await asyncio.sleep(0.02)
        assert peer.queries == len(responses)
        assert host.is_running
        assert loop.unhandled_errors == []

    loop.run_until_complete(main())


def test_odd_entry_in_a_view_costs_itself_alone(loop, tmp_path):
    """A host of another version has taken entries that this one does not use."""

    async def main():
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        host = deployment.hosts[0]
        revision = host.gateway.servers.revision + 1
        view = msgspec.structs.replace(
            VIEW, servers_revision=revision, servers_seen_revision=revision
        )
        sent = _sent(view)
        for number, (field, value) in enumerate([*ODD_FIELDS, ("slots", 2)]):
            entry = ServerEntry(f"other-{number}", revision, "s", "127.0.0.9:9", "a")
            sent[6].append({**_sent(entry), field: value})
        peer = Peer([msgspec.msgpack.encode(sent)])
        await peer.start(loop)
        status = msgspec.structs.replace(
            STATUS, servers_revision=revision, servers_seen_revision=revision
        )
        data = msgspec.msgpack.encode(Heartbeat(status))
        peer.transport.sendto(data, peer_address(host))
        await asyncio.sleep(0.1)
        entries = host.gateway.servers.by_name.values()
        added = [entry for entry in entries if entry.name.startswith("other-")]
        assert [entry.name for entry in added if entry.is_usable] == [
            f"other-{len(ODD_FIELDS)}"
        ]
        await check_deployment(deployment, loop)

    loop.run_until_complete(main())


@pytest.mark.parametrize("is_ended", [False, True])
def test_heartbeat_during_the_start_is_answered_with_an_address(
    loop, tmp_path, is_ended
):
    """A host receives heartbeats before it goes on with its start."""

    async def main():
        loop.bind_delay_seconds = BIND_DELAY_SECONDS
        deployment = Deployment(tmp_path, HOSTS)
        await deployment.start()
        if is_ended:
            # The others look for it, and send it heartbeats, as soon as it is back.
            await deployment.restart([deployment.hosts[0]])
        for host in deployment.hosts:
            contacts = host.gateway.membership.contacts_by_name.values()
            assert all(contact.peer_address for contact in contacts)
        await check_deployment(deployment, loop)

    loop.run_until_complete(main())
