"""Fetch one document from the service that stores it."""

from dataclasses import dataclass

from crocusbay.coordination.quarantine import (
    CRASH_RETENTION_SECONDS,
    Quarantine,
    request_fingerprint,
)
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.coordination.scatter import ScatterGather
from crocusbay.coordination.sub_request import ScatterRequest, SubRequestState
from crocusbay.protocol.upstream import document_target
from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict

RETRY_AFTER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class DocumentQuery:
    """Describe one document request; the deadline is on the monotonic clock."""

    request_id: str
    service: str
    document_id: str
    deadline: float


async def fetch_document(
    runtime: DeploymentRuntime, quarantine: Quarantine, query: DocumentQuery
) -> Verdict:
    """Return the verdict; Ran contains the server's response."""
    target = document_target(query.document_id)
    fingerprint = request_fingerprint(runtime.name, f"{query.service}{target}")
    if quarantine.is_quarantined(fingerprint, query.service):
        return NotRun(Cause.QUARANTINED, CRASH_RETENTION_SECONDS)
    state = SubRequestState(query.service, target)
    request = ScatterRequest(query.request_id, fingerprint, query.deadline)
    await ScatterGather(runtime, quarantine, request, [state]).run()
    match state.verdict:
        case Ran():
            return state.verdict
        case NotRun(cause, retry_after, detail):
            return NotRun(cause, retry_after or RETRY_AFTER_SECONDS, detail)
        case MayHaveRun(cause, retry_after, detail):
            return MayHaveRun(cause, retry_after or RETRY_AFTER_SECONDS, detail)
