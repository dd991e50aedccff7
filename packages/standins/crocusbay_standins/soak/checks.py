"""Checks of what callers and servers observed against the guarantees of hosts."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from crocusbay_gateway.state import Configuration
from crocusbay_platform.names import DIALECT
from crocusbay_standins.soak.callers import Kind, Outcome
from crocusbay_standins.soak.hosts import BOUNDS
from crocusbay_standins.soak.servers import Arrival, records_of

# On a machine with other load, a process may wait this long to be scheduled.
SCHEDULING_TOLERANCE_SECONDS = 0.5
# A host counts as free of faults this long after the last one at it or the store.
CALM_SECONDS = 4.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Broken:
    """Violation of a guarantee, by a request if `attempt` is not empty."""

    promise: str
    attempt: str
    detail: str


@dataclass(frozen=True, slots=True)
class Leaving:
    """Period in which a server was leaving: from its announcement to its restart."""

    server: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class Observed:
    """Everything observed in a soak (times of the loop's clock, seconds).

    `is_calm` tells whether a host, its links and the store had been free of faults for
    CALM_SECONDS at a given time.
    """

    outcomes: list[Outcome]
    arrivals: list[Arrival]
    configurations: list[tuple[float, Configuration]]
    leaving: list[Leaving]
    is_calm: Callable[[str, float], bool]
    # Maximum number of concurrent client connections by server.
    most_connections: dict[str, int] = field(default_factory=dict)


def check_all(observed: Observed) -> list[Broken]:
    """Return all violations."""
    return [
        violation
        for check in (
            check_answers,
            check_single_runs,
            check_draining,
            check_extras,
            check_configuration,
            check_planned_stops,
            check_connections,
        )
        for violation in check(observed)
    ]


def check_answers(observed: Observed) -> list[Broken]:
    """Check that each success is complete, correct and reports its true coverage."""
    violations = []
    for outcome in observed.outcomes:
        if outcome.status != 200:
            continue
        mismatch = (
            _gather_mismatch(outcome, observed)
            if outcome.kind is Kind.GATHER
            else _single_mismatch(outcome)
        )
        if mismatch:
            violations.append(Broken("correct response", outcome.attempt, mismatch))
    return violations


def _single_mismatch(outcome: Outcome) -> str:
    signature = outcome.headers.get(DIALECT.signature.lower(), b"").decode()
    if signature.partition(".")[2] != outcome.attempt:
        return f"unexpected signature {signature!r}"
    service = signature.rpartition("/")[0]
    if sorted(records_of(service, outcome.attempt)) != sorted(
        _split_records(outcome.body)
    ):
        return "unexpected records"
    return ""


def _gather_mismatch(outcome: Outcome, observed: Observed) -> str:
    header = outcome.headers.get(DIALECT.part_signatures.lower(), b"").decode()
    signatures = [part.strip() for part in header.split(",")]
    services = []
    for signature in signatures:
        server, _, attempt = signature.partition(".")
        if attempt != outcome.attempt:
            return f"part of a different attempt: {signature}"
        services.append(server.rpartition("/")[0])
    if len(set(services)) < len(services):
        return f"duplicate shard: {services}"
    missing = int(outcome.headers.get(DIALECT.missing_parts.lower(), b"0"))
    targets = [
        configuration.find("soak.example", outcome.path).target
        for at, configuration in observed.configurations
        if at <= outcome.ended_at and configuration.find("soak.example", outcome.path)
    ]
    matching = [
        target
        for target in targets
        if set(services) <= set(target.services)
        and len(target.services) == len(services) + missing
    ]
    if not matching:
        return f"no configuration with parts, missing: {len(services)}, {missing}"
    if not any(target.is_enough(len(services)) for target in matching):
        return f"only {len(services)} parts"
    expected = sorted(
        (r for service in services for r in records_of(service, outcome.attempt)),
        reverse=True,
    )
    if _split_records(outcome.body) != expected[: matching[0].top]:
        return "not the top records"
    return ""


def _split_records(body: bytes) -> list[bytes]:
    return [body[start : start + 16] for start in range(0, len(body), 16)]


def check_single_runs(observed: Observed) -> list[Broken]:
    """Check that an order runs at most once, and not if it was reported as not run."""
    runs = Counter(a.attempt for a in observed.arrivals if a.has_run)
    violations = []
    for outcome in observed.outcomes:
        if outcome.kind is not Kind.ORDER:
            continue
        if runs[outcome.attempt] > 1:
            detail = f"{runs[outcome.attempt]} runs"
            violations.append(Broken("at most once", outcome.attempt, detail))
        if outcome.status in NOT_RUN_STATUSES and runs[outcome.attempt]:
            violations.append(
                Broken(
                    "refused requests not run",
                    outcome.attempt,
                    f"status {outcome.status}",
                )
            )
    return violations


def check_draining(observed: Observed) -> list[Broken]:
    """Check that a leaving server gets no new requests after the drain time."""
    outcome_by_attempt = {outcome.attempt: outcome for outcome in observed.outcomes}
    violations = []
    for period in observed.leaving:
        drain_deadline = period.since + BOUNDS.drain_time + SCHEDULING_TOLERANCE_SECONDS
        for arrival in observed.arrivals:
            outcome = outcome_by_attempt.get(arrival.attempt)
            if arrival.server != period.server or outcome is None:
                continue
            if not drain_deadline <= arrival.at < period.until:
                continue
            if outcome.sent_at > drain_deadline and observed.is_calm(
                outcome.host, arrival.at
            ):
                detail = (
                    f"{arrival.server} "
                    f"{arrival.at - period.since:.1f} s after announcement"
                )
                violations.append(
                    Broken("no request to leaving server", arrival.attempt, detail)
                )
    return violations


def check_extras(observed: Observed) -> list[Broken]:
    """Check that retries and hedges keep to the ratio and burst in any window."""
    first_arrival_at: dict[tuple[str, str], float] = {}
    by_service: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for arrival in sorted(observed.arrivals, key=lambda each: each.at):
        key = (arrival.service, arrival.attempt)
        by_service[arrival.service].append((arrival.at, key in first_arrival_at))
        first_arrival_at.setdefault(key, arrival.at)
    violations = []
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
                detail = (
                    f"{service}: {extras} sent, {allowed:.0f} allowed, from {start:.1f}"
                )
                violations.append(Broken("extras", "", detail))
                break
    return violations


def check_configuration(observed: Observed) -> list[Broken]:
    """Check that a probe sent after the apply time sees the new configuration."""
    violations = []
    for outcome in observed.outcomes:
        if outcome.kind is not Kind.PROBE or outcome.status not in (200, 404):
            continue
        since = outcome.sent_at - BOUNDS.apply_time - SCHEDULING_TOLERANCE_SECONDS
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
            violations.append(Broken("configuration in force", outcome.attempt, detail))
    return violations


def check_planned_stops(observed: Observed) -> list[Broken]:
    """Check that no connection closes on a request without a recent fault."""
    return [
        Broken(
            "no request interrupted",
            outcome.attempt,
            f"{outcome.kind} at {outcome.host}",
        )
        for outcome in observed.outcomes
        if outcome.status == 0
        and outcome.ended_at - outcome.sent_at > SCHEDULING_TOLERANCE_SECONDS
        and observed.is_calm(outcome.host, outcome.ended_at)
    ]


def check_connections(observed: Observed) -> list[Broken]:
    """Check that hosts together keep to the connection limit per server."""
    limit_by_service = {
        service.name: service.max_connections
        for _, configuration in observed.configurations
        for service in configuration.services
    }
    return [
        Broken("connections", "", f"{count} to {server}")
        for server, count in observed.most_connections.items()
        if count > limit_by_service[server.rpartition("/")[0]]
    ]
