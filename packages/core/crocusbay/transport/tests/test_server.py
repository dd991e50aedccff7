import gc
import os

import anyio

from crocusbay.transport import open_listener, serve


async def app(scope, receive, send):
    raise AssertionError("no request is expected")


async def test_listener_is_closed_once():
    listener, _ = open_listener("127.0.0.1:0")
    descriptor = listener.fileno()
    await serve(app, listener, lambda: anyio.sleep(0), 0.0)
    gc.collect()
    # Reuse the freed descriptor number: a second close would close the duplicate.
    duplicate = os.dup(0)
    while duplicate < descriptor:
        duplicate = os.dup(0)
    assert duplicate == descriptor
    del listener
    gc.collect()
    os.fstat(descriptor)


async def test_server_stops_when_request_exceeds_drain_limit():
    started = anyio.Event()

    async def hang(scope, receive, send):
        if scope["type"] == "http":
            started.set()
            await anyio.sleep_forever()

    listener, address = open_listener("127.0.0.1:0")
    ip, port = address.split(":")
    stream = await anyio.connect_tcp(ip, int(port))
    await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    with anyio.fail_after(5):
        await serve(hang, listener, started.wait, 0.05)
    await stream.aclose()
