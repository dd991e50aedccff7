import re
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager

import anyio

_ID = re.compile(rb"crocusbay-request: (\S+)")

Response = Callable[[bytes], bytes | None]


def make_response(status=200, body=b"{}", request=None, headers=b"") -> Response:
    def make(request_id: bytes) -> bytes:
        response_id = request_id if request is None else request
        length = str(len(body)).encode()
        return (
            b"HTTP/1.1 %d -\r\ncrocusbay-request: %s\r\n%scontent-length: %s\r\n\r\n%s"
            % (status, response_id, headers, length, body)
        )

    return make


def raw(data: bytes) -> Response:
    return lambda request_id: data


def no_response(request_id: bytes) -> None:
    return None


class ScriptedServer:
    """Answer requests by a script; close after each response if `closing`."""

    def __init__(self, script: Iterator[Response], closing: bool = False) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self._script = script
        self.closing = closing
        self.address = ""
        self.gate = anyio.Event()
        self.gate.set()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            received = b""
            while True:
                try:
                    received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if b"\r\n\r\n" not in received:
                    continue
                self.requests.append(received)
                request_id = _ID.search(received).group(1)
                received = b""
                response = next(self._script)(request_id)
                await self.gate.wait()
                if response:
                    await stream.send(response)
                if self.closing:
                    return


@asynccontextmanager
async def scripted_server(*script: Response, closing: bool = False):
    server = ScriptedServer(iter(script), closing)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server.address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        yield server
        tasks.cancel_scope.cancel()
