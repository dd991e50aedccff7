"""Requests sent to a host during its planned stop, and what became of each."""

import asyncio
import random
import signal
from dataclasses import dataclass, field, replace

import msgspec

from crocusbay.state import split_address
from crocusbay_gateway.state import Configuration, Service
from crocusbay_platform.names import HTTP_CONVENTIONS
from crocusbay_standins.soak.callers import RequestKind
from crocusbay_standins.soak.deployment import PATHS, make_routes, make_services
from crocusbay_standins.soak.hosts import BOUNDS
from crocusbay_standins.soak.store import read_message

GRACE_SECONDS = 6.0
STOP_BOUNDS = replace(BOUNDS, shutdown_timeout=GRACE_SECONDS)
# Longer than the grace, as are the deadlines of the callers.
TIMEOUT_SECONDS = 8.0


def replace_routes(configuration, **changes):
    """Return the configuration with changes to each of its routes."""
    replace_route = msgspec.structs.replace
    routes = tuple(replace_route(each, **changes) for each in configuration.routes)
    return replace_route(configuration, routes=routes)


# No request waits for a connection.
STOP_SERVICES = tuple(Service(each.name, 2000) for each in make_services())
STOP_CONFIGURATION = replace_routes(
    Configuration(1, make_routes(0), STOP_SERVICES), timeout=TIMEOUT_SECONDS
)
# A closed connection says that a request was not read if it crossed the close.
CROSSING_SECONDS = 0.2
CLOSED = 0
REFUSED = 503
MAY_HAVE_RUN = (502, 504)


class SteadyRandom(random.Random):
    """Draw the middle of each range, so that servers work equally long."""

    def uniform(self, a, b):
        return (a + b) / 2


@dataclass
class Sent:
    """Request, when its last byte was sent (after the signal), and its status.

    `took` is the time from then, for a reply that follows another one from that.
    """

    attempt_id: str
    kind: RequestKind
    after: float = float("inf")
    status: int = CLOSED
    headers: dict = field(default_factory=dict)
    took: float = 0.0


class StopCaller:
    """Send requests on kept or new connections, whatever the earlier replies said."""

    def __init__(self, host):
        self.sent = []
        self.stopped_at = float("inf")
        self.host = host
        self._now = asyncio.get_running_loop().time

    async def connect(self):
        """Return a new stream, or None if the host does not listen."""
        ip, port = split_address(self.host.settings.caller_address)
        try:
            async with asyncio.timeout(1.0):
                return await asyncio.open_connection(ip, port)
        except (OSError, TimeoutError):
            return None

    async def send(self, stream, kind, count=1, body_delay=0.0):
        """Send requests on a stream in one write; await the reply to each.

        With a `body_delay`, the last byte follows after that time (seconds).
        """
        requests = [
            Sent(f"s{len(self.sent) + number}", kind) for number in range(count)
        ]
        self.sent += requests
        data = b"".join(_encode(each) for each in requests)
        sent_at = waits_since = self._now()
        try:
            if body_delay:
                stream[1].write(data[:-1])
                await asyncio.sleep(body_delay)
                data = data[-1:]
            sent_at = waits_since = self._now()
            for each in requests:
                each.after = sent_at - self.stopped_at
            stream[1].write(data)
            for each in requests:
                _, status, each.headers, _ = await read_message(stream[0])
                each.status = int(status)
                each.took = self._now() - waits_since
                waits_since = self._now()
        except (asyncio.IncompleteReadError, ConnectionError):
            for each in requests:
                if each.status == CLOSED:
                    each.took = self._now() - sent_at
        stream[1].close()


async def stop_as_planned(host, grace=GRACE_SECONDS):
    """Send SIGTERM, and SIGKILL at the end of the grace (seconds)."""
    now = asyncio.get_running_loop().time
    kill_at = now() + grace
    host.send_signal(signal.SIGTERM)
    while host.is_running and now() < kill_at:
        await asyncio.sleep(0.01)
    host.kill()


def _encode(request):
    method = "POST" if request.kind is RequestKind.ORDER else "GET"
    return (
        f"{method} {PATHS[request.kind]}{request.attempt_id} HTTP/1.1\r\n"
        "Host: soak.example\r\n"
        f"{HTTP_CONVENTIONS.attempt_id.decode()}: {request.attempt_id}\r\n"
        f"{HTTP_CONVENTIONS.deadline_ms.decode()}: {int(TIMEOUT_SECONDS * 1000)}\r\n"
        "Content-Length: 2\r\n\r\nhi"
    ).encode()


def wrong_ends(sent, received_requests, crossing_seconds=CROSSING_SECONDS):
    """Return the requests that ended as none may, each with the reason."""
    runs = {}
    for each in received_requests:
        services = runs.setdefault(each.attempt_id, [])
        if each.has_run:
            services.append(each.service)
    wrong = []
    for each in sent:
        run_count = len(runs.get(each.attempt_id, ()))
        if each.status == CLOSED and each.attempt_id in runs:
            wrong.append(("cut after it was passed on", each))
        elif each.status == CLOSED and each.took > crossing_seconds:
            wrong.append(("cut after it was read", each))
        elif each.status == REFUSED and (
            run_count or b"retry-after" not in each.headers
        ):
            wrong.append(("refused, but has run", each))
        elif each.status == REFUSED and each.took > crossing_seconds:
            wrong.append(("refused late", each))
        elif each.status not in (CLOSED, 200, REFUSED, *MAY_HAVE_RUN):
            wrong.append(("unexpected status", each))
        elif each.status in MAY_HAVE_RUN and each.attempt_id not in runs:
            wrong.append(("said to have run, but was not passed on", each))
        elif each.kind is RequestKind.ORDER and run_count > 1:
            wrong.append(("ran more than once", each))
    return wrong
