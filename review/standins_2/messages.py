"""HTTP/1.1 messages as the stand-ins read and write them."""

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Message:
    """Describe one request or response; header names are in lower case."""

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message; raise IncompleteReadError at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    one, two, three = [*first.split(" ", 2), "", ""][:3]
    return Message((one, two, three), headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded message with its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded response."""
    return encode(f"HTTP/1.1 {status} -", headers, body)
