"""Minimal HTTP server for the readiness, address resolution and metrics pages."""

import asyncio
import socket
from collections.abc import Callable

import httptools

from crocusbay.state import split_address
from crocusbay_gateway.protocol import encode_reply
from crocusbay_gateway.state import Reply

MAX_PAGE_REQUEST_BYTES = 16_384

PageHandler = Callable[[str], Reply]


class _PageConnection(asyncio.Protocol):
    """Respond to each request with the page for its target."""

    def __init__(self, get_page: PageHandler) -> None:
        self._get_page = get_page
        self._parser = httptools.HttpRequestParser(self)
        self._bytes = 0
        self._target = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._bytes += len(data)
        try:
            if self._bytes > MAX_PAGE_REQUEST_BYTES:
                raise httptools.HttpParserError("request exceeds the size limit")
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.write(encode_reply(Reply(400), is_last=True))
            self._transport.close()

    def on_message_begin(self) -> None:
        self._target = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_headers_complete(self) -> None:
        self._is_last = not self._parser.should_keep_alive()

    def on_message_complete(self) -> None:
        self._bytes = 0
        is_last = self._is_last
        reply = self._get_page(self._target.decode("latin-1"))
        self._transport.write(encode_reply(reply, is_last=is_last))
        if is_last:
            self._transport.close()


async def serve_pages(address: str, get_page: PageHandler) -> asyncio.Server:
    """Listen on ip:port and respond to each request with `get_page(target)`."""
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: _PageConnection(get_page), ip, port, family=socket.AF_INET
    )
