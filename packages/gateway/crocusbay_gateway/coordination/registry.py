"""Registry: the servers in force on this host, with connections and health."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.coordination.budget import ExtraBudget
from crocusbay_gateway.coordination.health import ServerHealth
from crocusbay_gateway.protocol import Dialect
from crocusbay_gateway.state import Bounds, Configuration, ServerEntry
from crocusbay_gateway.transport.pool import ServerPool

# Left free for connections that a host has closed and the server not yet noticed.
CONNECTION_HEADROOM = 0.1
# Of a server's limit, what the hosts that carry a data centre's load divide by it.
PART_OF_LIMIT = 0.25
# Of an even share of the extras, what a host without load may use.
LEAST_BURST_SHARE = 0.5
# More than any server that is up can cost.
DOWN_COST = 1_000.0
# Until a host has heard the others it takes no more than this part of a limit.
LEAST_HOSTS = 3


@dataclass(slots=True)
class Server:
    """Hold one server: its entry, the connections to it and its health."""

    entry: ServerEntry
    pool: ServerPool
    health: ServerHealth
    is_remote: bool

    def cost(self, now: float) -> float:
        """Return the expected cost of one more request; less is better."""
        cost = self.health.cost(now, self.entry.slots, is_remote=self.is_remote)
        return cost if self.pool.has_room else cost + self.entry.slots


class Registry:
    """Hold the usable servers by service."""

    def __init__(
        self,
        place: str,
        dialect: Dialect,
        bounds: Bounds,
        timers: TimerService,
        spawn: Callable,
    ) -> None:
        self.by_service: dict[str, list[Server]] = {}
        self._division = (1, 0.0, 1)
        self._place = place
        self._dialect = dialect
        self._bounds = bounds
        self._timers = timers
        self._spawn = spawn
        self._by_name: dict[str, Server] = {}
        self._budget_by_service: dict[str, ExtraBudget] = {}
        self._limit_by_service: dict[str, int] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Take the bounds of extras from settings that changed."""
        self._bounds = bounds
        for budget in self._budget_by_service.values():
            budget.bounds = bounds

    def set_configuration(self, configuration: Configuration) -> None:
        """Take the connection limits of the services."""
        self._limit_by_service = {
            service.name: service.max_connections for service in configuration.services
        }
        self._set_shares()

    def set_hosts(self, hosts: int, part: float = 0.0, places: int = 1) -> None:
        """Divide limits and budgets among so many hosts of so many data centres.

        `part` is this host's of the load of its data centre: most of the others may
        carry none.
        """
        division = (hosts, round(part, 1), places)
        if division == self._division:
            return
        self._division = division
        for budget in self._budget_by_service.values():
            budget.share = self._burst_share()
        self._set_shares()

    def take(self, entries: Iterable[ServerEntry]) -> None:
        """Take entries that changed."""
        for entry in entries:
            self._take_one(entry)
        grouped: dict[str, list[Server]] = {}
        for server in self._by_name.values():
            if server.entry.is_usable:
                grouped.setdefault(server.entry.service, []).append(server)
        self.by_service = grouped

    def budget(self, service: str) -> ExtraBudget:
        """Return the budget of extras of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = ExtraBudget(self._bounds)
            budget.share = self._burst_share()
        return budget

    def choose(
        self,
        service: str,
        exclude: Collection[str] = (),
        only: Collection[str] | None = None,
    ) -> Server | None:
        """Return the server to ask next, or None if none may be asked.

        Where every server is backed off, one that carries nothing is tried.
        """
        now = self._timers.now()
        best, best_cost = None, float("inf")
        for server in self.by_service.get(service, ()):
            name = server.entry.name
            if name in exclude or (only is not None and name not in only):
                continue
            if server.health.is_misdirected(now):
                continue
            cost = server.cost(now)
            if not server.health.is_up(now):
                if server.health.in_flight:
                    continue
                cost += DOWN_COST
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def find(self, service: str, name: str) -> Server | None:
        """Return a usable server of a service by its name."""
        server = self._by_name.get(name)
        if server is None or not server.entry.is_usable:
            return None
        return server if server.entry.service == service else None

    def has_server(self, service: str) -> bool:
        """Return whether any server of the service takes work."""
        return bool(self.by_service.get(service))

    def servers_by_place(self) -> dict[str, int]:
        """Return how many usable servers each data centre holds."""
        counts: dict[str, int] = {}
        for servers in self.by_service.values():
            for server in servers:
                counts[server.entry.place] = counts.get(server.entry.place, 0) + 1
        return counts

    def close(self) -> None:
        """Close the connections that carry nothing."""
        for server in self._by_name.values():
            server.pool.close()

    def _take_one(self, entry: ServerEntry) -> None:
        held = self._by_name.get(entry.name)
        if held is not None and not self._is_same_start(held.entry, entry):
            held.pool.close()
            del self._by_name[entry.name]
            held = None
        if entry.is_gone:
            return
        if held is not None:
            held.entry = entry
            return
        self._by_name[entry.name] = Server(
            entry,
            ServerPool(
                entry.address,
                self._share(entry.service),
                self._dialect,
                self._timers,
                self._spawn,
            ),
            ServerHealth(self._timers.now() + entry.cold_time),
            is_remote=entry.place != self._place,
        )

    @staticmethod
    def _is_same_start(held: ServerEntry, entry: ServerEntry) -> bool:
        return not entry.is_gone and (
            held.address == entry.address
            and held.service == entry.service
            and held.started_at == entry.started_at
        )

    def _share(self, service: str) -> int:
        limit = self._limit_by_service.get(service, LEAST_HOSTS)
        usable = int(limit * (1.0 - CONNECTION_HEADROOM))
        hosts, part, _ = self._division
        even = usable // max(hosts, LEAST_HOSTS)
        return max(1, even, int(usable * PART_OF_LIMIT * part))

    def _burst_share(self) -> float:
        """Return this host's part of the extras: by its load, or the least."""
        hosts, part, places = self._division
        return max(LEAST_BURST_SHARE / max(hosts, LEAST_HOSTS), part / places)

    def _set_shares(self) -> None:
        for server in self._by_name.values():
            server.pool.share = self._share(server.entry.service)
