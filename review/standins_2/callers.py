"""Stand-ins for callers."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from standins_2.messages import Message, encode, read_message


@dataclass(frozen=True)
class Outcome:
    """Describe what became of one attempt; status 0 if the connection ended."""

    attempt: str
    host: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    body: bytes


async def call(
    address: str,
    attempt: str,
    path: str,
    *,
    host_name: str = "shop.example",
    method: str = "GET",
    deadline_ms: int = 2000,
    body: bytes = b"",
) -> Outcome:
    """Send one request on a new connection and return its outcome."""
    ip, port = address.rsplit(":", 1)
    sent_at = time.monotonic()
    message: Message | None = None
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), 1.0
        )
        headers = {
            "Host": host_name,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms),
        }
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Outcome(
        attempt,
        address,
        sent_at,
        time.monotonic(),
        message.status if message else 0,
        message.headers if message else {},
        message.body if message else b"",
    )


class Traffic:
    """Callers that send requests to each host in turn until they are stopped."""

    def __init__(
        self,
        addresses: Callable[[], list[str]],
        path: str,
        pause_seconds: float,
        method: str = "GET",
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._addresses = addresses
        self._path = path
        self._pause_seconds = pause_seconds
        self._method = method
        self._tasks: list[asyncio.Task] = []

    def start(self, callers: int) -> None:
        """Start callers."""
        self._tasks += [
            asyncio.ensure_future(self._run(number)) for number in range(callers)
        ]

    def stop(self) -> None:
        """Stop the callers."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, number: int) -> None:
        count = 0
        while True:
            addresses = self._addresses()
            if not addresses:
                await asyncio.sleep(self._pause_seconds)
            for address in addresses:
                count += 1
                attempt = f"{self._method.lower()}{number}x{count}"
                outcome = await call(
                    address,
                    attempt,
                    f"{self._path}{attempt}",
                    method=self._method,
                    body=b"order" if self._method == "POST" else b"",
                )
                self.outcomes.append(outcome)
                await asyncio.sleep(self._pause_seconds)


def list_requests(outcomes: list[Outcome], start: float) -> list[str]:
    """Return a line for each request that was sent, with times since `start`."""
    return [
        f"sent {each.sent_at - start:.3f} {each.attempt} to {each.host};"
        f" answered {each.ended_at - start:.3f} with {each.status or 'no answer'}"
        for each in outcomes
    ]
