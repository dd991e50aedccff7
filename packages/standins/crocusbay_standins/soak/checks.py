"""Checks of what callers and servers observed against the guarantees of hosts."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from crocusbay_gateway.state import Configuration
from crocusbay_platform.names import HTTP_CONVENTIONS
from crocusbay_standins.soak.callers import Outcome, RequestKind
from crocusbay_standins.soak.hosts import BOUNDS
from crocusbay_standins.soak.servers import DrainPeriod, ReceivedRequest, make_records

# Of a line in the hosts' logs.
UNEXPECTED_ERROR = '"event":"unexpected-error"'
MAX_LINE_CHARACTERS = 400
# On a machine with other load, a process may wait this long to be scheduled.
SCHEDULING_TOLERANCE_SECONDS = 0.5
# A host counts as free of faults this long after the last fault of it or the store.
FAULT_FREE_SECONDS = 4.0
# A request that has crashed this many servers reaches servers again at most so often.
CRASHES_TO_QUARANTINE = 3
MAX_RETRIES_OF_CRASHING_REQUEST = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a guarantee, by a request if `attempt_id` is not empty."""

    guarantee: str
    attempt_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class Observations:
    """Everything observed in a soak (times of the loop's clock, seconds).

    `is_fault_free` tells whether a host, its links and the store had been free of
    faults for FAULT_FREE_SECONDS at a given time.
    """

    outcomes: list[Outcome]
    received_requests: list[ReceivedRequest]
    configurations: list[tuple[float, Configuration]]
    drain_periods: list[DrainPeriod]
    is_fault_free: Callable[[str, float], bool]
    # Maximum number of concurrent client connections by server.
    peak_connections: dict[str, int] = field(default_factory=dict)
    start_times_by_host: dict[str, list[float]] = field(default_factory=dict)


def check_host_logs(log_by_host: dict[str, str]) -> list[Violation]:
    """Return a violation for each host with an error of the program in its log."""
    violations = []
    for name, log in log_by_host.items():
        line = next((each for each in log.splitlines() if UNEXPECTED_ERROR in each), "")
        if line:
            detail = f"{name}: {line[:MAX_LINE_CHARACTERS]}"
            violations.append(Violation("no unexpected error", "", detail))
    return violations


def check_all(observations: Observations) -> list[Violation]:
    """Return all violations."""
    return [
        violation
        for check in (
            check_responses,
            check_at_most_once,
            check_draining,
            check_extras,
            check_configuration,
            check_configuration_order,
            check_interrupted_requests,
            check_connections,
            check_crashing_requests,
        )
        for violation in check(observations)
    ]


def check_responses(observations: Observations) -> list[Violation]:
    """Check that each success is complete, correct and reports its true coverage."""
    violations = []
    for outcome in observations.outcomes:
        if outcome.status != 200:
            continue
        mismatch = (
            _gather_mismatch(outcome, observations)
            if outcome.kind is RequestKind.GATHER
            else _single_mismatch(outcome)
        )
        if mismatch:
            violations.append(
                Violation("correct response", outcome.attempt_id, mismatch)
            )
    return violations


def _single_mismatch(outcome: Outcome) -> str:
    signature = outcome.headers.get(HTTP_CONVENTIONS.signature.lower(), b"").decode()
    if signature.partition(".")[2] != outcome.attempt_id:
        return f"unexpected signature {signature!r}"
    service = signature.rpartition("/")[0]
    if sorted(make_records(service, outcome.attempt_id)) != sorted(
        _split_records(outcome.body)
    ):
        return "unexpected records"
    return ""


def _gather_mismatch(outcome: Outcome, observations: Observations) -> str:
    header = outcome.headers.get(
        HTTP_CONVENTIONS.shard_signatures.lower(), b""
    ).decode()
    signatures = [part.strip() for part in header.split(",")]
    services = []
    for signature in signatures:
        server, _, attempt_id = signature.partition(".")
        if attempt_id != outcome.attempt_id:
            return f"part of a different attempt: {signature}"
        services.append(server.rpartition("/")[0])
    if len(set(services)) < len(services):
        return f"duplicate shard: {services}"
    missing = int(outcome.headers.get(HTTP_CONVENTIONS.missing_shards.lower(), b"0"))
    targets = [
        configuration.find_route("soak.example", outcome.path).target
        for at, configuration in observations.configurations
        if at <= outcome.ended_at
        and configuration.find_route("soak.example", outcome.path)
    ]
    matching = [
        target
        for target in targets
        if set(services) <= set(target.services)
        and len(target.services) == len(services) + missing
    ]
    if not matching:
        return f"no configuration with parts, missing: {len(services)}, {missing}"
    if not any(target.has_enough_shards(len(services)) for target in matching):
        return f"only {len(services)} parts"
    expected = sorted(
        (r for service in services for r in make_records(service, outcome.attempt_id)),
        reverse=True,
    )
    if _split_records(outcome.body) != expected[: matching[0].top_k]:
        return "not the top records"
    return ""


def _split_records(body: bytes) -> list[bytes]:
    return [body[start : start + 16] for start in range(0, len(body), 16)]


def check_at_most_once(observations: Observations) -> list[Violation]:
    """Check that an order runs at most once, and not if it was reported as not run."""
    runs = Counter(a.attempt_id for a in observations.received_requests if a.has_run)
    violations = []
    for outcome in observations.outcomes:
        if not outcome.kind.is_order:
            continue
        if runs[outcome.attempt_id] > 1:
            detail = f"{runs[outcome.attempt_id]} runs"
            violations.append(Violation("at most once", outcome.attempt_id, detail))
        if outcome.status in NOT_RUN_STATUSES and runs[outcome.attempt_id]:
            violations.append(
                Violation(
                    "refused requests not run",
                    outcome.attempt_id,
                    f"status {outcome.status}",
                )
            )
    return violations


def check_draining(observations: Observations) -> list[Violation]:
    """Check that a leaving server gets no new requests after the drain time."""
    outcome_by_attempt_id = {
        outcome.attempt_id: outcome for outcome in observations.outcomes
    }
    violations = []
    for period in observations.drain_periods:
        drain_deadline = period.start + BOUNDS.drain_time + SCHEDULING_TOLERANCE_SECONDS
        for request in observations.received_requests:
            outcome = outcome_by_attempt_id.get(request.attempt_id)
            if request.server != period.server or outcome is None:
                continue
            if not drain_deadline <= request.received_at < period.end:
                continue
            if outcome.sent_at > drain_deadline and observations.is_fault_free(
                outcome.host, request.received_at
            ):
                detail = (
                    f"{request.server} "
                    f"{request.received_at - period.start:.1f} s after announcement"
                )
                violations.append(
                    Violation(
                        "no request to leaving server", request.attempt_id, detail
                    )
                )
    return violations


def check_extras(observations: Observations) -> list[Violation]:
    """Check that retries and hedges keep to the ratio and burst in any window."""
    first_received_at: dict[tuple[str, str], float] = {}
    by_service: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for request in sorted(
        observations.received_requests, key=lambda each: each.received_at
    ):
        key = (request.service, request.attempt_id)
        by_service[request.service].append(
            (request.received_at, key in first_received_at)
        )
        first_received_at.setdefault(key, request.received_at)
    violations = []
    for service, received_requests in by_service.items():
        for index, (start, _) in enumerate(received_requests):
            window = [
                is_extra
                for at, is_extra in received_requests[index:]
                if at <= start + BOUNDS.retry_budget_window
            ]
            extras = sum(window)
            allowed = (
                BOUNDS.retry_budget_ratio * (len(window) - extras)
                + BOUNDS.retry_budget_burst
            )
            if extras > allowed:
                detail = (
                    f"{service}: {extras} sent, {allowed:.0f} allowed, from {start:.1f}"
                )
                violations.append(Violation("extras", "", detail))
                break
    return violations


def check_configuration(observations: Observations) -> list[Violation]:
    """Check that a probe sent after the apply time sees the new configuration."""
    violations = []
    for outcome in observations.outcomes:
        if outcome.kind is not RequestKind.PROBE or outcome.status not in (200, 404):
            continue
        since = (
            outcome.sent_at
            - BOUNDS.configuration_apply_time
            - SCHEDULING_TOLERANCE_SECONDS
        )
        allowed = [
            bool(configuration.find_route("soak.example", outcome.path))
            for at, configuration in observations.configurations
            if at <= outcome.ended_at
        ]
        applied = [c for at, c in observations.configurations if at <= since]
        recent = len(observations.configurations) - len(applied)
        in_force = allowed[max(0, len(applied) - 1) :] if recent else allowed[-1:]
        if (outcome.status == 200) in in_force:
            continue
        if observations.is_fault_free(outcome.host, outcome.sent_at):
            detail = f"{outcome.path} status {outcome.status} at {outcome.host}"
            violations.append(
                Violation("configuration in force", outcome.attempt_id, detail)
            )
    return violations


def check_configuration_order(observations: Observations) -> list[Violation]:
    """Check that no host goes back to an older configuration until it restarts."""
    probes = sorted(
        (
            outcome
            for outcome in observations.outcomes
            if outcome.kind is RequestKind.PROBE and outcome.status == 200
        ),
        key=lambda outcome: outcome.sent_at,
    )
    newest_by_host: dict[str, tuple[int, float]] = {}
    violations = []
    for outcome in probes:
        number = next(
            index
            for index, (_, configuration) in enumerate(observations.configurations)
            if configuration.find_route("soak.example", outcome.path)
        )
        newest, seen_at = newest_by_host.get(outcome.host, (-1, 0.0))
        has_restarted = any(
            seen_at - SCHEDULING_TOLERANCE_SECONDS <= at <= outcome.ended_at
            for at in observations.start_times_by_host.get(outcome.host, ())
        )
        if number >= newest or has_restarted:
            newest_by_host[outcome.host] = (number, outcome.ended_at)
        elif outcome.sent_at > seen_at:
            detail = f"{outcome.path} at {outcome.host}, after change {newest}"
            violations.append(
                Violation("configuration order", outcome.attempt_id, detail)
            )
    return violations


def check_interrupted_requests(observations: Observations) -> list[Violation]:
    """Check that no connection closes on a request without a recent fault."""
    return [
        Violation(
            "no request interrupted",
            outcome.attempt_id,
            f"{outcome.kind} at {outcome.host}",
        )
        for outcome in observations.outcomes
        if outcome.status == 0
        and outcome.ended_at - outcome.sent_at > SCHEDULING_TOLERANCE_SECONDS
        and observations.is_fault_free(outcome.host, outcome.ended_at)
    ]


def check_connections(observations: Observations) -> list[Violation]:
    """Check that hosts together keep to the connection limit per server."""
    limit_by_service = {
        service.name: service.max_connections
        for _, configuration in observations.configurations
        for service in configuration.services
    }
    return [
        Violation("connections", "", f"{count} to {server}")
        for server, count in observations.peak_connections.items()
        if count > limit_by_service[server.rpartition("/")[0]]
    ]


def check_crashing_requests(observations: Observations) -> list[Violation]:
    """Check that hosts soon stop sending a request that crashes its servers."""
    outcome_by_attempt_id = {
        outcome.attempt_id: outcome
        for outcome in observations.outcomes
        if outcome.kind.is_crashing
    }
    by_target: dict[str, list[ReceivedRequest]] = defaultdict(list)
    for request in observations.received_requests:
        outcome = outcome_by_attempt_id.get(request.attempt_id)
        if outcome is not None and request.has_run:
            by_target[outcome.path].append(request)
    violations = []
    for target, received_requests in by_target.items():
        received_requests.sort(key=lambda each: each.received_at)
        if len(received_requests) < CRASHES_TO_QUARANTINE:
            continue
        stable_at = (
            received_requests[CRASHES_TO_QUARANTINE - 1].received_at
            + FAULT_FREE_SECONDS
            + SCHEDULING_TOLERANCE_SECONDS
        )
        late = [
            request
            for request in received_requests
            if request.received_at > stable_at
            and observations.is_fault_free(
                outcome_by_attempt_id[request.attempt_id].host, request.received_at
            )
        ]
        if len(late) > MAX_RETRIES_OF_CRASHING_REQUEST:
            detail = (
                f"{target}: {len(late)} retries, the first {late[0].attempt_id} at "
                f"{late[0].received_at:.1f}, allowed until {stable_at:.1f}"
            )
            violations.append(Violation("crashing request stopped", "", detail))
    return violations
