"""Simulated upstream servers: several in one process, each with its own listener."""

import json
import sys
from dataclasses import asdict, dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

import anyio
import click
import httptools

from crocusbay.protocol import from_json, to_json
from crocusbay.protocol.upstream import (
    CLOCK_HEADER,
    DEADLINE_HEADER,
    LEAVING_HEADER,
    PLACE_HEADER,
    REQUEST_HEADER,
    SNAPSHOT_HEADER,
)
from crocusbay.state import (
    EventKind,
    HybridClock,
    IndexStatus,
    Service,
    Timeline,
    Upstream,
    parse_stamp,
)
from crocusbay.transport import open_listener, serve
from crocusbay_standins.http_app import HttpRequest, HttpResponse, make_app
from crocusbay_standins.simulated_server import (
    ServerFaults,
    SimulatedCrash,
    SimulatedRequest,
    SimulatedResponse,
    SimulatedServer,
    SimulationConfig,
)


@dataclass(frozen=True)
class ServerConfig:
    """Describe one server to run; port 0 in its address selects a free port."""

    upstream: Upstream
    service: Service


@dataclass(frozen=True)
class UpstreamProcessConfig:
    """Configure one process and the servers that it runs."""

    process: str
    model: SimulationConfig
    servers: tuple[ServerConfig, ...]


@dataclass(frozen=True)
class FaultCommand:
    """Set the faults of the named servers, or of all if none is named."""

    faults: ServerFaults
    servers: tuple[str, ...] = ()


@dataclass(frozen=True)
class SilenceCommand:
    """Stop answering on open connections of the named servers, or of all."""

    servers: tuple[str, ...] = ()


class _RequestCollector:
    """Collect the requests of one connection from the httptools callbacks."""

    def __init__(self) -> None:
        self.requests: list[tuple[bytes, dict[str, str], bytes]] = []
        self.on_message_begin()

    def on_message_begin(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self.requests.append((self._url, self._headers, self._body))


class ListeningServer:
    """Accept the connections of one simulated server and serve their requests."""

    def __init__(self, simulation: SimulatedServer, clock: HybridClock) -> None:
        self.simulation = simulation
        self._clock = clock
        self._connections: dict[anyio.CancelScope, anyio.abc.SocketStream] = {}
        self._silent_scopes: set[anyio.CancelScope] = set()
        self._is_resetting = False
        self._mismatched_request_id = "other"
        self._crashed = anyio.Event()

    async def run(self, listener: anyio.abc.SocketListener) -> None:
        """Serve; after a crash, refuse connections for the restart time."""
        address = self.simulation.upstream.address
        while True:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, self._serve)
                await self._crashed.wait()
                tasks.cancel_scope.cancel()
            self._crashed = anyio.Event()
            self._silent_scopes.clear()
            await listener.aclose()
            await anyio.sleep(self.simulation.config.restart_seconds)
            ip, _, port = address.rpartition(":")
            listener = await anyio.create_tcp_listener(
                local_host=ip, local_port=int(port)
            )
            cold_seconds = self.simulation.config.cold_seconds
            self.simulation.cold_until = anyio.current_time() + cold_seconds

    def silence_connections(self) -> None:
        """Stop answering on the open connections for good, without closing them."""
        self._silent_scopes.update(self._connections)

    def reset_connections(self) -> None:
        """Close the open connections, and from now on new ones at their first request.

        A server that stops does so until its listener is closed.
        """
        self._is_resetting = True
        for scope in self._connections:
            scope.cancel()

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        service = self.simulation.service
        if len(self._connections) >= service.connections:
            self.simulation.counts["connections_refused"] += 1
            await anyio.aclose_forcefully(stream)
            return
        self.simulation.counts["connections"] += 1
        with anyio.CancelScope() as scope:
            self._connections[scope] = stream
            peak = max(
                self.simulation.counts["peak_connections"], len(self._connections)
            )
            self.simulation.counts["peak_connections"] = peak
            try:
                await anyio.sleep(service.connect_cost)
                await self._serve_requests(stream, scope)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                pass
            except httptools.HttpParserError:
                self.simulation.counts["malformed"] += 1
            finally:
                self._connections.pop(scope, None)
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def _serve_requests(
        self, stream: anyio.abc.SocketStream, scope: anyio.CancelScope
    ) -> None:
        collector = _RequestCollector()
        parser = httptools.HttpRequestParser(collector)
        while True:
            parser.feed_data(await stream.receive())
            if self._is_resetting:
                return
            while collector.requests:
                message = collector.requests.pop(0)
                if scope in self._silent_scopes:
                    continue
                request = _parse_request(parser.get_method().decode(), *message)
                self._clock.observe(parse_stamp(message[1].get(CLOCK_HEADER, "")))
                try:
                    response = await self.simulation.handle_request(request)
                except SimulatedCrash:
                    self.crash()
                    return
                if scope not in self._silent_scopes:
                    await stream.send(self._encode_response(request, response))

    def crash(self) -> None:
        """Close the listener and all connections, and let `run` restart the server."""
        self.simulation.counts["crashes"] += 1
        self._crashed.set()

    def _encode_response(
        self, request: SimulatedRequest, response: SimulatedResponse
    ) -> bytes:
        body = to_json(response.value)
        request_id = request.request_id
        if request.path != "/health" and self.simulation.consume_mismatch_fault():
            request_id = self._mismatched_request_id
        elif request.path != "/health":
            self._mismatched_request_id = f"{request.request_id}-other"
        leaving = (
            f"{LEAVING_HEADER}: 1\r\n" if self.simulation.faults.is_draining else ""
        )
        head = (
            f"HTTP/1.1 {response.status} -\r\n"
            f"content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
            f"{REQUEST_HEADER}: {request_id}\r\n"
            f"{CLOCK_HEADER}: {self._clock.now()}\r\n"
            f"{leaving}\r\n"
        )
        return head.encode() + body


def _parse_request(
    method: str, url: bytes, headers: dict[str, str], body: bytes
) -> SimulatedRequest:
    parts = urlsplit(url.decode())
    return SimulatedRequest(
        request_id=headers.get(REQUEST_HEADER, ""),
        method=method,
        path=unquote(parts.path),
        query_by_name=dict(parse_qsl(parts.query)),
        body=body,
        snapshot_version=int(headers.get(SNAPSHOT_HEADER, "0")),
        deadline_ms=float(headers.get(DEADLINE_HEADER, "60000")),
        place=headers.get(PLACE_HEADER, ""),
    )


class UpstreamProcess:
    """Run the servers of one process and their control API."""

    def __init__(self, config: UpstreamProcessConfig) -> None:
        self.clock = HybridClock()
        self.timeline = Timeline(config.process, self.clock)
        self._config = config
        self.server_by_name: dict[str, ListeningServer] = {}

    async def run(self) -> None:
        """Print the bound addresses as JSON, and serve until the process is killed."""
        listener, control = open_listener("127.0.0.1:0")
        async with anyio.create_task_group() as tasks:
            for server_config in self._config.servers:
                await self._start_server(server_config, tasks)
            upstreams = [
                asdict(server.simulation.upstream)
                for server in self.server_by_name.values()
            ]
            click.echo(json.dumps({"control": control, "upstreams": upstreams}))
            sys.stdout.flush()
            app = make_app(self.handle, self.clock)
            await serve(app, listener, anyio.sleep_forever, 0.0)

    async def _start_server(
        self, server_config: ServerConfig, tasks: anyio.abc.TaskGroup
    ) -> None:
        ip, _, port = server_config.upstream.address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=ip, local_port=int(port))
        bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)
        upstream = Upstream(
            **{**asdict(server_config.upstream), "address": f"{ip}:{bound_port}"}
        )
        simulation = SimulatedServer(
            upstream, server_config.service, self._config.model, self.timeline
        )
        server = ListeningServer(simulation, self.clock)
        self.server_by_name[upstream.name] = server
        tasks.start_soon(server.run, listener)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request of the control API."""
        match request.path:
            case "/timeline":
                return HttpResponse(
                    200, self.timeline.events(request.query_value("request"))
                )
            case "/control/counts":
                return HttpResponse(200, self._counts())
            case "/control/orders":
                return HttpResponse(200, self._order_counts())
            case "/control/faults":
                return self._apply_command(request, FaultCommand, self._set_faults)
            case "/control/silence":
                return self._apply_command(request, SilenceCommand, self._silence)
            case "/control/index":
                return self._apply_command(request, IndexStatus, self._set_index)
        return HttpResponse(404)

    def _apply_command(self, request: HttpRequest, kind: type, apply) -> HttpResponse:
        decoded = from_json(request.body, kind)
        if decoded.is_error():
            return HttpResponse(400, decoded.error)
        self.timeline.record(EventKind.FAULT_SET, detail=request.body.decode()[:200])
        apply(decoded.ok)
        return HttpResponse(200)

    def _select_servers(self, names: tuple[str, ...]) -> list[ListeningServer]:
        if not names:
            return list(self.server_by_name.values())
        return [
            self.server_by_name[name] for name in names if name in self.server_by_name
        ]

    def _set_faults(self, command: FaultCommand) -> None:
        for server in self._select_servers(command.servers):
            server.simulation.faults = command.faults

    def _silence(self, command: SilenceCommand) -> None:
        for server in self._select_servers(command.servers):
            server.silence_connections()

    def _set_index(self, index: IndexStatus) -> None:
        for server in self.server_by_name.values():
            server.simulation.index = index

    def _counts(self) -> dict[str, dict[str, int]]:
        return {
            name: dict(server.simulation.counts)
            for name, server in self.server_by_name.items()
        }

    def _order_counts(self) -> dict[str, dict[str, int]]:
        return {
            name: dict(server.simulation.runs_by_order)
            for name, server in self.server_by_name.items()
        }


@click.command()
@click.argument("plan_file", type=click.File("rb"))
def main(plan_file) -> None:
    """Run the servers of PLAN_FILE (JSON) until the process is killed."""
    decoded = from_json(plan_file.read(), UpstreamProcessConfig)
    if decoded.is_error():
        raise click.BadParameter(decoded.error)
    process = UpstreamProcess(decoded.ok)
    anyio.run(process.run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
