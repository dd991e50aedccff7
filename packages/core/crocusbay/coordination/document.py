"""Fetch one document from the service that stores it."""

from dataclasses import dataclass

from crocusbay.coordination.leg import Job, Leg
from crocusbay.coordination.quarantine import (
    STRIKE_LIFETIME_SECONDS,
    Quarantine,
    fingerprint,
)
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.coordination.scatter import Scatter
from crocusbay.protocol.upstream import document_target
from crocusbay.state import Cause, MayHaveRun, NotRun, Ran, Verdict

RETRY_AFTER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class DocumentQuery:
    """Describe one document request; the deadline is on the monotonic clock."""

    request: str
    service: str
    document: str
    deadline: float


async def fetch_document(
    runtime: DeploymentRuntime, quarantine: Quarantine, query: DocumentQuery
) -> Verdict:
    """Return the verdict; Ran carries the upstream's response."""
    target = document_target(query.document)
    request_key = fingerprint(runtime.name, f"{query.service}{target}")
    if quarantine.holds(request_key, query.service):
        return NotRun(Cause.QUARANTINED, STRIKE_LIFETIME_SECONDS)
    leg = Leg(query.service, target)
    job = Job(query.request, request_key, query.deadline)
    await Scatter(runtime, quarantine, job, [leg]).run()
    match leg.verdict:
        case Ran():
            return leg.verdict
        case NotRun(cause, retry_after, detail):
            return NotRun(cause, retry_after or RETRY_AFTER_SECONDS, detail)
        case MayHaveRun(cause, retry_after, detail):
            return MayHaveRun(cause, retry_after or RETRY_AFTER_SECONDS, detail)
