"""What this host knows of server processes that it suspects to have crashed."""

from crocusbay_gateway.coordination.registry import Registry
from crocusbay_gateway.coordination.suspicions import ProcessState, Suspicion
from crocusbay_gateway.coordination.views import ServersView

# A view of this age shows what the store holds.
CURRENT_VIEW_AGE_SECONDS = 1.0


class ServerProcesses:
    """Find out from the registry and the view of the store whether processes run."""

    def __init__(self, registry: Registry, servers: ServersView) -> None:
        self._registry = registry
        self._servers = servers

    def find_state(self, suspicion: Suspicion, now: float) -> ProcessState:
        """Return what is known of the process that a suspicion names."""
        name, started_at = suspicion.key
        server = self._registry.find_process(name, started_at)
        if server is not None:
            if server.entry.is_draining or server.is_leaving:
                return ProcessState.LEAVING
            if server.responded_at > suspicion.known_since:
                return ProcessState.RESPONSIVE
            return ProcessState.SILENT
        if self._registry.has_left(name, started_at):
            return ProcessState.LEAVING
        if self._registry.is_replaced(name, started_at):
            return ProcessState.ABSENT
        # The host that suspects the server had it in its view, perhaps a newer one.
        is_known = (
            self._servers.seen_revision
            and self._servers.confirmed_at >= suspicion.known_since
        )
        return ProcessState.ABSENT if is_known else ProcessState.UNKNOWN

    def hidden_time(self, now: float) -> float:
        """Return for how long ends of servers may have been unknown (seconds)."""
        age = self._servers.age(now)
        if age > CURRENT_VIEW_AGE_SECONDS:
            return age
        return self._servers.unknown_for(now)
