"""HTTP replies to callers: verdicts and JSON values."""

import math
from dataclasses import dataclass
from typing import Any

import msgspec

from crocusbay.protocol import to_json
from crocusbay.protocol.caller import RanReply, VerdictReply
from crocusbay.protocol.upstream import STATUS_OK
from crocusbay.state import MayHaveRun, NotRun, Ran, Verdict

STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class Reply:
    """HTTP reply; `retry_after` is in seconds, and 0 sends no header."""

    status: int
    body: bytes
    retry_after: float = 0.0
    content_type: str = "application/json"


def json_reply(value: Any) -> Reply:
    """Return a 200 reply with the value as JSON."""
    return Reply(STATUS_OK, to_json(value))


def verdict_name(verdict: Verdict) -> str:
    """Return the name of the verdict used in replies and metric labels."""
    match verdict:
        case Ran():
            return "ran"
        case NotRun():
            return "not-run"
        case MayHaveRun():
            return "may-have-run"


def verdict_reply(request_id: str, verdict: Verdict) -> Reply:
    """Return the reply to a document request, an order or a failed search."""
    name = verdict_name(verdict)
    match verdict:
        case Ran(response):
            body = to_json(RanReply(request_id, name, msgspec.Raw(response.body)))
            return Reply(response.status, body)
        case NotRun(cause, retry_after, detail):
            status = STATUS_UNAVAILABLE
        case MayHaveRun(cause, retry_after, detail):
            status = STATUS_GATEWAY_TIMEOUT
    reply = VerdictReply(request_id, name, cause, math.ceil(retry_after * 1000), detail)
    return Reply(status, to_json(reply), retry_after)
