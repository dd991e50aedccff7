"""Reading and writing of HTTP/1.1 messages."""

import asyncio


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers by lower-case name, and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def encode_message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
