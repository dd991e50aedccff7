"""Clients: they look up addresses, and send requests one after the other."""

import asyncio
import json
import secrets
from dataclasses import dataclass

from standins.host import Host
from standins.http import encode_message, read_message


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one client attempt; status 0: closed, -1: no answer in time."""

    attempt_id: str
    address: str
    target: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    body: bytes


async def look_up(host: Host, zone: str, name: str) -> list[str]:
    """Return the addresses that a host names to clients of a zone."""
    ip, port = host.directory.split(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                f"GET /resolution?name={name}&region=region&zone={zone} HTTP/1.1\r\n"
                f"Host: {name}\r\n\r\n".encode()
            )
            first, _, body = await read_message(reader)
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return []
    return json.loads(body)["addrs"] if " 200 " in first else []


class Client:
    """Send requests over one kept connection."""

    def __init__(self, host_name: str) -> None:
        self._host_name = host_name
        self._stream: tuple | None = None
        self._address = ""

    async def send(
        self,
        address: str,
        target: str,
        deadline_ms: int,
        method: str = "GET",
        body: bytes = b"",
    ) -> Outcome:
        """Send one request with an id of its own, and wait for its answer."""
        loop = asyncio.get_running_loop()
        attempt_id = secrets.token_hex(8)
        sent_at = loop.time()
        status, headers, answer = 0, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await self._connect(address)
                writer.write(
                    encode_message(
                        f"{method} {target} HTTP/1.1",
                        {
                            "Host": self._host_name,
                            "Attempt-Id": attempt_id,
                            "Deadline-Ms": str(deadline_ms),
                        },
                        body,
                    )
                )
                first, headers, answer = await read_message(reader)
                status = int(first.split(" ")[1])
        except TimeoutError:
            status = -1
        except (asyncio.IncompleteReadError, OSError):
            status = 0
        if status <= 0 or headers.get("connection") == "close":
            self.close()
        return Outcome(
            attempt_id, address, target, sent_at, loop.time(), status, headers, answer
        )

    async def _connect(self, address: str) -> tuple:
        if self._stream is None or self._address != address:
            self.close()
            ip, port = address.split(":")
            self._stream = await asyncio.open_connection(ip, int(port))
            self._address = address
        return self._stream

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None
