"""Registry of the known servers, with the connections to them and their health."""

from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from crocusbay.state import Cause
from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.health import ServerHealth
from crocusbay_gateway.coordination.membership import MIN_HOST_COUNT
from crocusbay_gateway.coordination.retry_budget import RetryBudget
from crocusbay_gateway.coordination.server_reachability import ServerReachability
from crocusbay_gateway.coordination.stated_limit import ServerLimit
from crocusbay_gateway.protocol import HttpConventions
from crocusbay_gateway.state import (
    Bounds,
    Configuration,
    ServerEntry,
    ServerStatement,
)
from crocusbay_gateway.transport import Exchange, ReceiveBudget, ServerPool

# Share of a server's limit left free for connections that a host has closed but that
# the server still counts as open.
CONNECTION_HEADROOM = 0.1
# Share of a server's limit that the hosts of one data centre divide by their load.
LOAD_BASED_LIMIT_SHARE = 0.25
# Fraction of an even share of the hedges and retries that a host without load may send.
MIN_BURST_FRACTION = 0.5
# Exceeds the cost of any server that is not backed off.
BACKED_OFF_COST = 1_000.0
# The entry of a server that crashed is removed or replaced within this time.
END_DETECTION_SECONDS = 8.0
MAX_END_LISTENERS = 64
# Processes whose statements are remembered; far more than leave within minutes.
MAX_REMEMBERED_PROCESSES = 10_000


@dataclass(slots=True)
class Server:
    """Combine the entry of a server with its connections and its health."""

    entry: ServerEntry
    pool: ServerPool
    health: ServerHealth
    is_remote: bool
    # None unless the server states a limit, or did so recently.
    limit: ServerLimit | None = None
    # When the server first stated that it leaves.
    leaving_since: float | None = None
    # Until when the server wants no requests of this host.
    rest_until: float = float("-inf")
    # From when the server may end as planned, with requests in progress.
    may_exit_at: float = float("inf")
    # When a response of the process was last received (seconds).
    responded_at: float = float("-inf")
    # Whether the entry was removed or replaced although the server had not left.
    has_ended: bool = False
    # Called at such an end, by the exchange that is in progress.
    listener_by_exchange: dict[Exchange, Callable[[], None]] = field(
        default_factory=dict
    )
    _end_listeners: deque[tuple[float, Callable[[], None]]] = field(
        default_factory=lambda: deque(maxlen=MAX_END_LISTENERS)
    )

    @property
    def is_leaving(self) -> bool:
        """Return whether the server has stated that it leaves."""
        return self.leaving_since is not None

    @property
    def is_usable(self) -> bool:
        """Return whether the server accepts new requests."""
        return self.entry.is_usable and not self.is_leaving

    def rest_time(self, now: float) -> float:
        """Return for how long the server wants no requests of this host (seconds)."""
        return max(0.0, self.rest_until - now)

    def send_delay(self, now: float, *, is_urgent: bool = True) -> float:
        """Return the time until this host may send to the server (seconds)."""
        rest_time = self.rest_time(now)
        if self.limit is None:
            return rest_time
        return max(rest_time, self.limit.delay(now, is_urgent=is_urgent))

    def on_end(self, listener: Callable[[], None], now: float) -> None:
        """Call a listener if the server has ended or soon ends without leaving."""
        if self.has_ended:
            listener()
        else:
            self._end_listeners.append((now, listener))

    def handle_end(self, now: float, unknown_for: float = 0.0) -> None:
        """Close the connections, and tell listeners if the server had not left.

        The end may have been unknown for a time (seconds).
        """
        self.pool.close()
        if self.entry.is_draining or self.is_leaving:
            return
        self.has_ended = True
        for since, listener in self._end_listeners:
            if now - since < END_DETECTION_SECONDS + unknown_for:
                listener()
        for listener in list(self.listener_by_exchange.values()):
            listener()

    def cost(self, now: float) -> float:
        """Return the expected cost of one more request, in typical requests."""
        cost = self.health.cost(now, self.entry.slots, is_remote=self.is_remote)
        return cost if self.pool.has_capacity else cost + self.entry.slots


class Registry:
    """Store the known servers and select one for each request."""

    def __init__(
        self,
        data_centre: str,
        conventions: HttpConventions,
        bounds: Bounds,
        timers: TimerService,
        spawn: Callable,
        on_remote_bytes: Callable[[int], None] | None = None,
        receive_budget: ReceiveBudget | None = None,
    ) -> None:
        self.by_service: dict[str, list[Server]] = {}
        self.reachability = ServerReachability()
        # Called with what a server states in each response.
        self.on_statement: Callable[[Server, ServerStatement], None] = _ignore_statement
        self._share_inputs = (1, 0.0, 1)
        self._data_centre = data_centre
        self._conventions = conventions
        self._bounds = bounds
        self._timers = timers
        self._spawn = spawn
        # Called with bytes exchanged with servers of other data centres.
        self._on_remote_bytes = on_remote_bytes
        self._receive_budget = receive_budget or ReceiveBudget()
        self._by_name: dict[str, Server] = {}
        # When processes, by name and start, first stated that they leave. Their entries
        # may be removed and come back while they run.
        self._leaving_since: OrderedDict[tuple[str, int], float] = OrderedDict()
        # Until when such processes rest whose entries were removed meanwhile.
        self._rest_until: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._limit_by_service: dict[str, int] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Set the bounds of the retry budgets after a change of settings."""
        self._bounds = bounds
        for budget in self._budget_by_service.values():
            budget.bounds = bounds

    def set_configuration(self, configuration: Configuration) -> None:
        """Set the connection limits of the services."""
        self._limit_by_service = {
            service.name: service.max_connections for service in configuration.services
        }
        self._set_connection_limits()

    def set_limit_shares(
        self, host_count: int, load_share: float = 0.0, data_centre_count: int = 1
    ) -> None:
        """Set this host's share of the connection limits and retry budgets.

        `load_share` is this host's share of the load of its data centre, in which most
        of the other hosts may have no load.
        """
        share_inputs = (host_count, round(load_share, 1), data_centre_count)
        if share_inputs == self._share_inputs:
            return
        self._share_inputs = share_inputs
        for budget in self._budget_by_service.values():
            budget.burst_share = self._burst_share()
        self._set_connection_limits()

    def apply_entries(
        self, entries: Iterable[ServerEntry], unknown_for: float = 0.0
    ) -> None:
        """Add, update or remove the servers of changed entries.

        The changes may have been unknown for a time (seconds).
        """
        for entry in entries:
            self._apply(entry, unknown_for)
        self._group_by_service()

    def record_leaving(self, name: str, started_at: int) -> None:
        """Use a process no more; it does not take its statement back."""
        process = name, started_at
        since = self._leaving_since.get(process, self._timers.now())
        _remember(self._leaving_since, process, since)
        server = self.find_process(name, started_at)
        if server is not None and not server.is_leaving:
            server.leaving_since = self._leaving_since[process]
            self._expect_exit(server, server.leaving_since + self._bounds.drain_time)
            server.pool.fail_queued(Cause.DRAINING)
            self._group_by_service()

    def _group_by_service(self) -> None:
        grouped: dict[str, list[Server]] = {}
        for server in self._by_name.values():
            if server.is_usable:
                grouped.setdefault(server.entry.service, []).append(server)
        self.by_service = grouped

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(self._bounds)
            budget.burst_share = self._burst_share()
        return budget

    def choose_server(
        self,
        service: str,
        exclude: Collection[str] = (),
        only: Collection[str] | None = None,
        *,
        is_urgent: bool = True,
    ) -> Server | None:
        """Return the server with the least expected cost, or None if none may be used.

        A server that rests, or whose limit leaves no room for another send, is not
        used. If every server is backed off, one without requests in flight is tried.
        """
        now = self._timers.now()
        best, best_cost = None, float("inf")
        for server in self.by_service.get(service, ()):
            name = server.entry.name
            if name in exclude or (only is not None and name not in only):
                continue
            if server.health.is_misdirected(now):
                continue
            if server.send_delay(now, is_urgent=is_urgent) > 0.0:
                continue
            cost = server.cost(now)
            if not server.health.is_available(now):
                if server.health.in_flight:
                    continue
                cost += BACKED_OFF_COST
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def find_server(self, service: str, name: str) -> Server | None:
        """Return a server by name, or None if not usable for the service."""
        server = self._by_name.get(name)
        if server is None or not server.is_usable:
            return None
        return server if server.entry.service == service else None

    def find_process(self, name: str, started_at: int) -> Server | None:
        """Return a server by name and start, or None if not known."""
        server = self._by_name.get(name)
        if server is None or server.entry.started_at != started_at:
            return None
        return server

    def has_left(self, name: str, started_at: int) -> bool:
        """Return whether a process has stated that it leaves."""
        return (name, started_at) in self._leaving_since

    def is_replaced(self, name: str, started_at: int) -> bool:
        """Return whether another process has taken the name of one."""
        server = self._by_name.get(name)
        return server is not None and server.entry.started_at != started_at

    def send_delay(self, service: str, *, is_urgent: bool) -> float:
        """Return the time until a server of the service may get a send (seconds)."""
        now = self._timers.now()
        return min(
            (
                server.send_delay(now, is_urgent=is_urgent)
                for server in self.by_service.get(service, ())
                if not server.health.is_misdirected(now)
            ),
            default=0.0,
        )

    def reserve_return(self, service: str) -> float:
        """Return when a caller refused for limits or rests may return (seconds)."""
        now = self._timers.now()
        servers = self.by_service.get(service, ())
        if not servers:
            return 0.0
        first = min(servers, key=lambda server: server.send_delay(now))
        if first.limit is None:
            return first.rest_time(now)
        return max(first.rest_time(now), first.limit.reserve_return(now))

    def has_server(self, service: str) -> bool:
        """Return whether any server of the service is usable."""
        return bool(self.by_service.get(service))

    def server_counts_by_data_centre(self) -> dict[str, int]:
        """Return the number of usable servers per data centre."""
        counts: dict[str, int] = {}
        for servers in self.by_service.values():
            for server in servers:
                counts[server.entry.data_centre] = (
                    counts.get(server.entry.data_centre, 0) + 1
                )
        return counts

    def servers(self) -> list[Server]:
        """Return the usable servers of all services."""
        return [server for each in self.by_service.values() for server in each]

    def end_backoffs(self) -> None:
        """Use every server again, after this host's own links had failed."""
        for server in self._by_name.values():
            server.health.end_backoff()

    def close(self) -> None:
        """Close idle connections and refuse requests that wait for one."""
        for server in self._by_name.values():
            server.pool.close()

    def _apply(self, entry: ServerEntry, unknown_for: float) -> None:
        known = self._by_name.get(entry.name)
        if known is not None and not self._is_same_process(known.entry, entry):
            known.handle_end(self._timers.now(), unknown_for)
            if known.rest_time(self._timers.now()):
                process = known.entry.name, known.entry.started_at
                _remember(self._rest_until, process, known.rest_until)
            del self._by_name[entry.name]
            known = None
        if entry.is_removed:
            return
        if known is not None:
            if entry.is_draining and not known.entry.is_draining:
                drain_time = self._bounds.drain_time
                self._expect_exit(known, self._timers.now() + drain_time)
            known.entry = entry
            return
        is_remote = entry.data_centre != self._data_centre
        server = Server(
            entry,
            ServerPool(
                entry.address,
                self._connection_limit(entry.service),
                self._conventions,
                self._timers,
                self._spawn,
                self._receive_budget,
                lambda is_open: self._record_connect(entry.name, is_open),
                lambda statement: self.on_statement(server, statement),
                self._on_remote_bytes if is_remote else None,
            ),
            ServerHealth(self._timers.now() + entry.warm_up_time),
            is_remote=is_remote,
            leaving_since=self._leaving_since.get((entry.name, entry.started_at)),
            rest_until=self._rest_until.pop(
                (entry.name, entry.started_at), float("-inf")
            ),
        )
        self._by_name[entry.name] = server
        if not server.is_usable:
            # Since when it leaves is not known.
            self._expect_exit(server, self._timers.now())

    @staticmethod
    def _expect_exit(server: Server, may_exit_at: float) -> None:
        server.may_exit_at = min(server.may_exit_at, may_exit_at)

    def _record_connect(self, name: str, is_open: bool) -> None:
        if is_open:
            self.reachability.record_connected()
        else:
            self.reachability.record_connect_failed(name)

    @staticmethod
    def _is_same_process(known: ServerEntry, entry: ServerEntry) -> bool:
        return not entry.is_removed and (
            known.address == entry.address
            and known.service == entry.service
            and known.started_at == entry.started_at
        )

    def _connection_limit(self, service: str) -> int:
        # Without a configured limit, the result is one connection per server.
        limit = self._limit_by_service.get(service, MIN_HOST_COUNT)
        usable = int(limit * (1.0 - CONNECTION_HEADROOM))
        host_count, load_share, _ = self._share_inputs
        even_share = usable // max(host_count, MIN_HOST_COUNT)
        return max(1, even_share, int(usable * LOAD_BASED_LIMIT_SHARE * load_share))

    def _burst_share(self) -> float:
        """Return this host's share of the retry budget: by its load, with a minimum."""
        host_count, load_share, data_centre_count = self._share_inputs
        return max(
            MIN_BURST_FRACTION / max(host_count, MIN_HOST_COUNT),
            load_share / data_centre_count,
        )

    def _set_connection_limits(self) -> None:
        for server in self._by_name.values():
            server.pool.connection_limit = self._connection_limit(server.entry.service)


def _remember(
    by_process: OrderedDict[tuple[str, int], float], process: tuple[str, int], at: float
) -> None:
    by_process[process] = at
    by_process.move_to_end(process)
    while len(by_process) > MAX_REMEMBERED_PROCESSES:
        by_process.popitem(last=False)


def _ignore_statement(server: Server, statement: ServerStatement) -> None:
    """Take the place of a callback that is not set yet."""
