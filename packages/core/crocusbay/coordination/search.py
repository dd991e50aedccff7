"""Search: one query over all shards of one snapshot, and the coverage reached."""

from dataclasses import dataclass, field

from crocusbay.coordination.quarantine import (
    CRASH_RETENTION_SECONDS,
    Quarantine,
    request_fingerprint,
)
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.coordination.scatter import ScatterGather
from crocusbay.coordination.sub_request import ScatterRequest, SubRequestState
from crocusbay.protocol.codec import from_json
from crocusbay.protocol.upstream import (
    STATUS_WRONG_SNAPSHOT,
    HeldSnapshots,
    Hit,
    SearchAnswer,
    SubResponse,
    decode_answer,
    search_target,
)
from crocusbay.state import (
    Cause,
    Coverage,
    EventKind,
    MissingService,
    NotRun,
    Ran,
    Snapshot,
    Verdict,
)

MAX_PASSES = 8
NO_INDEX_RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class SearchQuery:
    """Describe one search; the deadline is on the monotonic clock."""

    request_id: str
    query: str
    deadline: float


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Merged hits from one snapshot, and the coverage of that snapshot."""

    snapshot: int
    coverage: Coverage
    hits: tuple[Hit, ...]


@dataclass(slots=True)
class _Pass:
    """Collect the answers of the services from one snapshot.

    `versions_offered` lists the snapshots held by a server that lacks this one.
    """

    snapshot: Snapshot
    answers_by_service: dict[str, SearchAnswer] = field(default_factory=dict)
    versions_offered: frozenset[int] | None = None


class Search:
    """Run one search; restart it if a server no longer holds its snapshot."""

    def __init__(
        self, runtime: DeploymentRuntime, quarantine: Quarantine, query: SearchQuery
    ) -> None:
        self._runtime = runtime
        self._quarantine = quarantine
        self._query = query
        self._fingerprint = request_fingerprint(
            runtime.name, "search", query.query.encode()
        )

    async def run(self) -> Verdict:
        """Return Ran with a SearchResult, or NotRun if no shard answered."""
        if self._quarantine.is_quarantined(self._fingerprint):
            return NotRun(Cause.QUARANTINED, CRASH_RETENTION_SECONDS)
        snapshot = self._runtime.select_snapshot()
        if snapshot is None:
            return NotRun(Cause.NO_INDEX, NO_INDEX_RETRY_AFTER_SECONDS)
        best: SearchResult | None = None
        for _ in range(MAX_PASSES):
            this_pass, states = await self._run_pass(snapshot)
            best = max(best, _merge(this_pass, states), key=_count_documents)
            replacement = self._find_replacement(this_pass)
            if replacement is None:
                break
            self._record_restart(snapshot, replacement)
            snapshot = replacement
        if best.coverage.shards_answered == 0:
            return self._verdict_without_answers(best)
        return Ran(best)

    def _verdict_without_answers(self, result: SearchResult) -> Verdict:
        if self._quarantine.is_quarantined(self._fingerprint):
            return NotRun(Cause.QUARANTINED, CRASH_RETENTION_SECONDS)
        causes = [missing.cause for missing in result.coverage.missing]
        cause = max(set(causes), key=causes.count, default=Cause.NO_INDEX)
        return NotRun(cause, RETRY_AFTER_SECONDS, "no shard answered")

    async def _run_pass(
        self, snapshot: Snapshot
    ) -> tuple[_Pass, list[SubRequestState]]:
        this_pass = _Pass(snapshot)
        states = [
            SubRequestState(
                service, search_target(self._query.query, _shard_names(shards))
            )
            for service, shards in snapshot.by_service.items()
        ]
        request = ScatterRequest(
            self._query.request_id,
            self._fingerprint,
            self._query.deadline,
            snapshot.version,
        )

        def accept(state: SubRequestState, response: SubResponse) -> Cause | None:
            if response.status == STATUS_WRONG_SNAPSHOT:
                return self._handle_wrong_snapshot(this_pass, scatter, response)
            return _store_answer(this_pass, state, response)

        scatter = ScatterGather(
            self._runtime, self._quarantine, request, states, accept
        )
        await scatter.run()
        return this_pass, states

    def _handle_wrong_snapshot(
        self, this_pass: _Pass, scatter: ScatterGather, response: SubResponse
    ) -> Cause:
        """Stop the pass if the server without its snapshot holds another known one."""
        held = from_json(response.body, HeldSnapshots)
        if held.is_error():
            return Cause.PROTOCOL
        this_pass.versions_offered = frozenset(held.ok.held)
        if self._find_replacement(this_pass) is not None:
            self._runtime.mark_snapshot_missing(this_pass.snapshot.version)
            scatter.stop()
        return Cause.WRONG_SNAPSHOT

    def _find_replacement(self, this_pass: _Pass) -> Snapshot | None:
        if this_pass.versions_offered is None:
            return None
        known = self._runtime.index.by_version
        versions = this_pass.versions_offered & known.keys() - {
            this_pass.snapshot.version
        }
        return known[max(versions)] if versions else None

    def _record_restart(self, old: Snapshot, new: Snapshot) -> None:
        self._runtime.context.timeline.record(
            EventKind.SNAPSHOT_RESTART,
            request=self._query.request_id,
            deployment=self._runtime.name,
            detail=f"{old.version} -> {new.version}",
        )


def _shard_names(shards: tuple) -> tuple[str, ...]:
    return tuple(shard.name for shard in shards)


def _count_documents(result: SearchResult | None) -> int:
    return -1 if result is None else result.coverage.documents_answered


def _store_answer(
    this_pass: _Pass, state: SubRequestState, response: SubResponse
) -> Cause | None:
    """Store an answer from the pass's snapshot; reject any other."""
    answer = decode_answer(response.body)
    if answer is None:
        return Cause.PROTOCOL
    if answer.snapshot != this_pass.snapshot.version:
        return Cause.WRONG_SNAPSHOT
    this_pass.answers_by_service[state.service] = answer
    return None


def _merge(this_pass: _Pass, states: list[SubRequestState]) -> SearchResult:
    shard_count = document_count = 0
    hits: list[Hit] = []
    missing: list[MissingService] = []
    causes = {state.service: _missing_cause(state) for state in states}
    for service, expected in this_pass.snapshot.by_service.items():
        answer = this_pass.answers_by_service.get(service)
        documents_by_shard = answer.documents_by_shard if answer else {}
        answered = [shard for shard in expected if shard.name in documents_by_shard]
        shard_count += len(answered)
        document_count += sum(
            min(shard.documents, documents_by_shard[shard.name]) for shard in answered
        )
        hits += answer.hits if answer else ()
        if len(answered) < len(expected):
            unanswered = [
                shard for shard in expected if shard.name not in documents_by_shard
            ]
            missing_documents = sum(shard.documents for shard in unanswered)
            missing.append(
                MissingService(
                    service, causes[service], len(unanswered), missing_documents
                )
            )
    hits.sort(key=lambda hit: (-hit.score, hit.id))
    coverage = Coverage(
        shard_count,
        len(this_pass.snapshot.shards),
        document_count,
        this_pass.snapshot.documents,
        tuple(missing),
    )
    return SearchResult(this_pass.snapshot.version, coverage, tuple(hits))


def _missing_cause(state: SubRequestState) -> Cause:
    if state.verdict is None or isinstance(state.verdict, Ran):
        return Cause.PROTOCOL
    return state.verdict.cause
