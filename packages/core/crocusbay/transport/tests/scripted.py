import re
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager

import anyio

_ID = re.compile(rb"crocusbay-request: (\S+)")

Reply = Callable[[bytes], bytes | None]


def reply(status=200, body=b"{}", request=None, headers=b"") -> Reply:
    def make(request_id: bytes) -> bytes:
        shown = request_id if request is None else request
        length = str(len(body)).encode()
        return (
            b"HTTP/1.1 %d -\r\ncrocusbay-request: %s\r\n%scontent-length: %s\r\n\r\n%s"
            % (status, shown, headers, length, body)
        )

    return make


def raw(data: bytes) -> Reply:
    return lambda request_id: data


def silence(request_id: bytes) -> None:
    return None


class ScriptedServer:
    """Answer requests by a script; close the connection after `closing` replies."""

    def __init__(self, script: Iterator[Reply], closing: bool = False) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self._script = script
        self._closing = closing
        self.address = ""
        self.gate = anyio.Event()
        self.gate.set()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            with_body = b""
            while True:
                try:
                    with_body += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if b"\r\n\r\n" not in with_body:
                    continue
                self.requests.append(with_body)
                request_id = _ID.search(with_body).group(1)
                with_body = b""
                answer = next(self._script)(request_id)
                await self.gate.wait()
                if answer:
                    await stream.send(answer)
                if self._closing:
                    return


@asynccontextmanager
async def scripted_server(*script: Reply, closing: bool = False):
    server = ScriptedServer(iter(script), closing)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server.address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        yield server
        tasks.cancel_scope.cancel()
