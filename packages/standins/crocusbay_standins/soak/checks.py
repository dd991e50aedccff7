"""Checks: what callers and servers saw, against what hosts promise."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from crocusbay_gateway.state import Configuration
from crocusbay_platform.names import DIALECT
from crocusbay_standins.soak.callers import Kind, Outcome
from crocusbay_standins.soak.hosts import BOUNDS
from crocusbay_standins.soak.servers import Arrival, records_of

# On one machine with other work, a process may wait this long for its turn.
SCHEDULING_SECONDS = 0.5
# A host counts as undisturbed this long after the last fault at it or at the store.
CALM_SECONDS = 4.0
PROMISES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Broken:
    """Describe one promise that was not kept."""

    promise: str
    attempt: str
    detail: str


@dataclass(frozen=True, slots=True)
class Leaving:
    """Note that a server was leaving, from its report until it started anew."""

    server: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class Observed:
    """Hold all that was seen in a soak (times on the loop's clock, seconds).

    `is_calm` tells whether nothing was done to a host, its links or the store for a
    while before a moment.
    """

    outcomes: list[Outcome]
    arrivals: list[Arrival]
    configurations: list[tuple[float, Configuration]]
    leaving: list[Leaving]
    is_calm: Callable[[str, float], bool]
    # The most connections that clients held to each server at once.
    most_connections: dict[str, int] = field(default_factory=dict)


def check_all(observed: Observed) -> list[Broken]:
    """Return every promise that was broken."""
    return [
        broken
        for check in (
            check_answers,
            check_single_runs,
            check_draining,
            check_extras,
            check_configuration,
            check_planned_stops,
            check_connections,
        )
        for broken in check(observed)
    ]


def check_answers(observed: Observed) -> list[Broken]:
    """Each success is the whole answer to its own attempt, its coverage true."""
    broken = []
    for outcome in observed.outcomes:
        if outcome.status != 200:
            continue
        fault = (
            _gather_fault(outcome, observed)
            if outcome.kind is Kind.GATHER
            else _single_fault(outcome)
        )
        if fault:
            broken.append(Broken("own whole answer", outcome.attempt, fault))
    return broken


def _single_fault(outcome: Outcome) -> str:
    signature = outcome.headers.get(DIALECT.signature.lower(), b"").decode()
    if signature.partition(".")[2] != outcome.attempt:
        return f"signature {signature!r}"
    service = signature.rpartition("/")[0]
    if sorted(records_of(service, outcome.attempt)) != sorted(_records(outcome.body)):
        return "other records"
    return ""


def _gather_fault(outcome: Outcome, observed: Observed) -> str:
    header = outcome.headers.get(DIALECT.part_signatures.lower(), b"").decode()
    signatures = [part.strip() for part in header.split(",")]
    services = []
    for signature in signatures:
        server, _, attempt = signature.partition(".")
        if attempt != outcome.attempt:
            return f"part of another attempt: {signature}"
        services.append(server.rpartition("/")[0])
    if len(set(services)) < len(services):
        return f"a shard counts twice: {services}"
    missing = int(outcome.headers.get(DIALECT.missing_parts.lower(), b"0"))
    targets = [
        configuration.find("soak.example", outcome.path).target
        for at, configuration in observed.configurations
        if at <= outcome.ended_at and configuration.find("soak.example", outcome.path)
    ]
    fitting = [
        target
        for target in targets
        if set(services) <= set(target.services)
        and len(target.services) == len(services) + missing
    ]
    if not fitting:
        return f"no configuration has these parts: {len(services)} and {missing}"
    if not any(target.is_enough(len(services)) for target in fitting):
        return f"only {len(services)} parts"
    greatest = sorted(
        (r for service in services for r in records_of(service, outcome.attempt)),
        reverse=True,
    )
    if _records(outcome.body) != greatest[: fitting[0].top]:
        return "not the greatest records"
    return ""


def _records(body: bytes) -> list[bytes]:
    return [body[start : start + 16] for start in range(0, len(body), 16)]


def check_single_runs(observed: Observed) -> list[Broken]:
    """An order runs at most once, and never when it was said not to have run."""
    runs = Counter(a.attempt for a in observed.arrivals if a.has_run)
    broken = []
    for outcome in observed.outcomes:
        if outcome.kind is not Kind.ORDER:
            continue
        if runs[outcome.attempt] > 1:
            detail = f"{runs[outcome.attempt]} runs"
            broken.append(Broken("at most once", outcome.attempt, detail))
        if outcome.status in PROMISES and runs[outcome.attempt]:
            broken.append(
                Broken("true refusal", outcome.attempt, f"status {outcome.status}")
            )
    return broken


def check_draining(observed: Observed) -> list[Broken]:
    """A server that is leaving gets no new work after the time to drain."""
    outcome_by_attempt = {outcome.attempt: outcome for outcome in observed.outcomes}
    broken = []
    for leaving in observed.leaving:
        late = leaving.since + BOUNDS.drain_time + SCHEDULING_SECONDS
        for arrival in observed.arrivals:
            outcome = outcome_by_attempt.get(arrival.attempt)
            if arrival.server != leaving.server or outcome is None:
                continue
            if not late <= arrival.at < leaving.until:
                continue
            if outcome.sent_at > late and observed.is_calm(outcome.host, arrival.at):
                detail = f"{arrival.server} {arrival.at - leaving.since:.1f} s after"
                broken.append(Broken("no work when leaving", arrival.attempt, detail))
    return broken


def check_extras(observed: Observed) -> list[Broken]:
    """Sends beyond the first stay within the ratio and the burst in any window."""
    first: dict[tuple[str, str], float] = {}
    by_service: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for arrival in sorted(observed.arrivals, key=lambda each: each.at):
        key = (arrival.service, arrival.attempt)
        by_service[arrival.service].append((arrival.at, key in first))
        first.setdefault(key, arrival.at)
    broken = []
    for service, arrivals in by_service.items():
        for index, (start, _) in enumerate(arrivals):
            window = [
                is_extra
                for at, is_extra in arrivals[index:]
                if at <= start + BOUNDS.extra_window
            ]
            extras = sum(window)
            allowed = BOUNDS.extra_ratio * (len(window) - extras) + BOUNDS.extra_burst
            if extras > allowed:
                detail = f"{service}: {extras} of {allowed:.0f} from {start:.1f}"
                broken.append(Broken("extras", "", detail))
                break
    return broken


def check_configuration(observed: Observed) -> list[Broken]:
    """A probe of a route, sent long after a change, is served as it says."""
    broken = []
    for outcome in observed.outcomes:
        if outcome.kind is not Kind.PROBE or outcome.status not in (200, 404):
            continue
        since = outcome.sent_at - BOUNDS.apply_time - SCHEDULING_SECONDS
        allowed = [
            bool(configuration.find("soak.example", outcome.path))
            for at, configuration in observed.configurations
            if at <= outcome.ended_at
        ]
        settled = [c for at, c in observed.configurations if at <= since]
        recent = len(observed.configurations) - len(settled)
        in_force = allowed[max(0, len(settled) - 1) :] if recent else allowed[-1:]
        if (outcome.status == 200) in in_force:
            continue
        if observed.is_calm(outcome.host, outcome.sent_at):
            detail = f"{outcome.path} status {outcome.status} at {outcome.host}"
            broken.append(Broken("configuration in force", outcome.attempt, detail))
    return broken


def check_planned_stops(observed: Observed) -> list[Broken]:
    """Without a fault near, no request ends without an answer."""
    return [
        Broken("no request cut", outcome.attempt, f"{outcome.kind} at {outcome.host}")
        for outcome in observed.outcomes
        if outcome.status == 0
        and outcome.ended_at - outcome.sent_at > SCHEDULING_SECONDS
        and observed.is_calm(outcome.host, outcome.ended_at)
    ]


def check_connections(observed: Observed) -> list[Broken]:
    """All hosts together keep to each service's limit of connections to a server."""
    limit_by_service = {
        service.name: service.max_connections
        for _, configuration in observed.configurations
        for service in configuration.services
    }
    return [
        Broken("connections", "", f"{most} to {server}")
        for server, most in observed.most_connections.items()
        if most > limit_by_service[server.rpartition("/")[0]]
    ]
