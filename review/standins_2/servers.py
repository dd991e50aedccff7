"""Stand-ins for the servers of services."""

import asyncio
import time
from collections.abc import Callable

from standins_2.messages import Message, encode_response, read_message
from standins_2.store import Store

IDLE_TIMEOUT_SECONDS = 30


class Server:
    """Run requests, `slots` at a time, and record each one that arrives.

    `handle` may take the place of the usual response: it is called with the request
    and the connection, and returns whether the connection stays open, or None for the
    usual response. Clocks are monotonic.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str = "z1",
        *,
        work_seconds: float = 0.01,
        slots: int = 4,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ""
        self.born = int(time.time() * 1000)
        # Time, attempt, method and path, whether it ran, Deadline-Ms.
        self.arrivals: list[tuple[float, str, str, bool, str]] = []
        self.handle: Callable | None = None
        self._work_seconds = work_seconds
        self._slots = slots
        self._semaphore = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def register(self, store: Store, state: str = "ready") -> None:
        """Write the server's entry."""
        store.put("servers", self.name, self.entry(state))

    def entry(self, state: str = "ready") -> dict:
        """Return the server's entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self._slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def stop(self) -> None:
        """End at once, as in a crash."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self._respond(request, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        attempt = request.headers.get("attempt-id", "")
        is_meant = request.headers.get("expect-instance", self.name) == self.name
        self.arrivals.append(
            (
                time.monotonic(),
                attempt,
                f"{request.start[0]} {request.start[1]}",
                is_meant,
                request.headers.get("deadline-ms", ""),
            )
        )
        if not is_meant:
            writer.write(encode_response(421, {"Not-Run": "1", "Attempt-Id": attempt}))
            return True
        if self.handle is not None:
            keeps_open = await self.handle(self, request, writer)
            if keeps_open is not None:
                return keeps_open
        async with self._semaphore:
            await asyncio.sleep(self._work_seconds)
        headers = {
            "Attempt-Id": attempt,
            "Server-Stamp": f"{self.name}.{attempt}",
            "Keep-Alive": f"timeout={IDLE_TIMEOUT_SECONDS}",
        }
        writer.write(encode_response(200, headers, f"ran {attempt}".encode()))
        await writer.drain()
        return True


def list_arrivals(servers: list[Server], start: float) -> list[str]:
    """Return a line for each request that reached a server."""
    arrivals = sorted(
        (at, server.name, attempt, target, is_meant)
        for server in servers
        for at, attempt, target, is_meant, _ in server.arrivals
    )
    return [
        f"{name} {'runs' if is_meant else 'rejects'} {attempt} at {at - start:.3f}"
        f" ({target})"
        for at, name, attempt, target, is_meant in arrivals
    ]
