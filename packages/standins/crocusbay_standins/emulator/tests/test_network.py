"""The emulated loop and network match the real ones where hosts depend on it."""

import asyncio
from contextvars import copy_context

import pytest

from crocusbay_standins.emulator.loop import VirtualClockLoop, current_node
from crocusbay_standins.emulator.node import Node

SERVER = ("10.0.0.1", 80)


@pytest.fixture
def loop():
    loop = VirtualClockLoop(1)
    yield loop
    loop.close()


def start(loop, node, main):
    context = copy_context()
    context.run(current_node.set, node)
    return loop.create_task(main, context=context)


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def serve_forever():
    await asyncio.start_server(echo, *SERVER)
    await asyncio.Event().wait()


async def request(data=b"hi"):
    reader, writer = await asyncio.open_connection(*SERVER)
    writer.write(data)
    reply = await reader.readexactly(len(data))
    writer.close()
    return reply


def test_clock_advances_to_next_timer(loop):
    loop.run_until_complete(asyncio.sleep(3_600.0))
    assert loop.time() == pytest.approx(3_600.0)


def test_stream_delivers_bytes_in_order(loop):
    node = Node(SERVER[0])
    start(loop, node, serve_forever())
    data = b"".join(bytes([number]) * 50 for number in range(200))
    assert loop.run_until_complete(request(data)) == data


def test_connect_without_listener_is_refused(loop):
    with pytest.raises(ConnectionRefusedError):
        loop.run_until_complete(request())


def test_killed_node_resets_connections_and_stops_listening(loop):
    node = Node(SERVER[0])
    start(loop, node, serve_forever())

    async def main():
        reader, writer = await asyncio.open_connection(*SERVER)
        loop.network.kill(node)
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        with pytest.raises(ConnectionRefusedError):
            await request()

    loop.run_until_complete(main())


def test_paused_node_replies_after_resume(loop):
    node = Node(SERVER[0])
    start(loop, node, serve_forever())

    async def main():
        assert await request() == b"hi"
        node.is_paused = True
        loop.call_later(5.0, loop.resume, node)
        started_at = loop.time()
        assert await request() == b"hi"
        assert loop.time() - started_at == pytest.approx(5.0, abs=0.1)

    loop.run_until_complete(main())


def test_partition_stalls_streams_and_drops_datagrams(loop):
    server, client = Node(SERVER[0]), Node("10.0.0.2")
    received = []

    class Receiver(asyncio.DatagramProtocol):
        def datagram_received(self, data, address):
            received.append((data, address))

    async def listen_for_datagrams():
        await loop.create_datagram_endpoint(Receiver, local_addr=SERVER)
        await serve_forever()

    async def main():
        reader, writer = await asyncio.open_connection(*SERVER)
        source = ("10.0.0.2", 90)
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=source
        )
        loop.network.partition(server.ip, client.ip)
        writer.write(b"held")
        transport.sendto(b"lost", SERVER)
        await asyncio.sleep(1.0)
        loop.network.heal()
        transport.sendto(b"passed", SERVER)
        assert await reader.readexactly(4) == b"held"
        await asyncio.sleep(0.1)
        assert received == [(b"passed", source)]

    start(loop, server, listen_for_datagrams())
    loop.run_until_complete(asyncio.sleep(0))
    loop.run_until_complete(start(loop, client, main()))
