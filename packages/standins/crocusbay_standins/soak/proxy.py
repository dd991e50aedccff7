"""Loopback proxy: passes connections on, and harms them when told to."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from crocusbay_standins.soak.listening import listen


class Harm(StrEnum):
    """Name what a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_ANSWERS = "cut-answers"
    SILENCE = "silence"
    REFUSE = "refuse"


DELAY_SECONDS = 0.2
CHUNK_BYTES = 65_536


@dataclass(eq=False)
class _Pair:
    """Hold the two sides of one connection; `is_silent` lasts until it ends."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    is_silent: bool = False

    def abort(self) -> None:
        self.near.transport.abort()
        self.far.transport.abort()


class Proxy:
    """Stand before one address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.harm = Harm.NONE
        # Connections that clients hold open, and the most there were.
        self.open_connections = 0
        self.most_connections = 0
        # In the order of their opening, so that a seed repeats.
        self._pairs: dict[_Pair, None] = {}
        self._server: asyncio.Server

    @property
    def address(self) -> str:
        """Return where to connect."""
        return self._address

    async def start(self, port: int = 0) -> str:
        """Listen on a port, or on one that the system chooses; return the address."""
        self._server, self._address = await listen(self._serve, port)
        return self._address

    def close(self) -> None:
        """Stop and end every connection."""
        self._server.close()
        for pair in list(self._pairs):
            pair.abort()

    def set_harm(self, harm: Harm) -> None:
        """Harm connections from now on; silence stays with those that it met."""
        self.harm = harm
        for pair in list(self._pairs):
            if harm in (Harm.RESET, Harm.REFUSE):
                pair.abort()
            elif harm is Harm.SILENCE:
                pair.is_silent = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.REFUSE:
            writer.transport.abort()
            return
        ip, port = self.target.split(":")
        try:
            far_reader, far = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, far, self.harm is Harm.SILENCE)
        self._pairs[pair] = None
        await asyncio.gather(
            self._pump_requests(pair, reader),
            self._pump(pair, far_reader, writer, is_answer=True),
        )
        self._pairs.pop(pair, None)

    async def _pump_requests(self, pair: _Pair, reader: asyncio.StreamReader) -> None:
        self.open_connections += 1
        self.most_connections = max(self.most_connections, self.open_connections)
        try:
            await self._pump(pair, reader, pair.far, is_answer=False)
        finally:
            self.open_connections -= 1

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                is_cut = self.harm is Harm.CUT_ANSWERS and is_answer
                if pair.is_silent or is_cut:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pair.abort()
            return
        if not pair.is_silent:
            writer.close()
