"""Messages between hosts and upstream servers, over HTTP/1.1."""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

REQUEST_HEADER = "crocusbay-request"
SNAPSHOT_HEADER = "crocusbay-snapshot"
DEADLINE_HEADER = "crocusbay-deadline-ms"
PLACE_HEADER = "crocusbay-place"
CLOCK_HEADER = "crocusbay-clock"
LEAVING_HEADER = "crocusbay-leaving"

RESPONSE_GRACE_SECONDS = 0.25

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_WRONG_SNAPSHOT = 409
STATUS_CANCELLED = 499
STATUS_REFUSED = 503
STATUS_DEADLINE = 504


@dataclass(frozen=True, slots=True)
class Hit:
    """Describe one document that matches a search."""

    id: str
    score: float
    text: str = ""


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Hits from the shards of one server at one snapshot."""

    snapshot: int
    documents_by_shard: dict[str, int]
    hits: tuple[Hit, ...] = ()


_answer_decoder = msgspec.json.Decoder(SearchAnswer)


def decode_answer(body: bytes) -> SearchAnswer | None:
    """Return a search answer, or None if it is malformed.

    It returns no Result: this runs for every sub-request, and building a Result costs
    more than the decoding.
    """
    try:
        return _answer_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


@dataclass(frozen=True, slots=True)
class HeldSnapshots:
    """List the versions of the snapshots that a server holds."""

    held: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Refusal:
    """Report why a server rejected a request, and when to retry it."""

    reason: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class SubRequest:
    """Sub-request as it is sent to one server.

    The deadline is on the monotonic clock. A connection whose response is more than
    `grace` seconds past the deadline is closed as silent.
    """

    request_id: str
    method: str
    target: str
    deadline: float
    body: bytes = b""
    snapshot_version: int = 0
    is_idempotent: bool = True
    grace: float = RESPONSE_GRACE_SECONDS


@dataclass(frozen=True, slots=True)
class SubResponse:
    """Response of one server to a `SubRequest`."""

    status: int
    body: bytes
    is_leaving: bool = False


def search_target(query: str, shards: tuple[str, ...]) -> str:
    """Return the request target of a search in the shards."""
    return f"/search?q={quote(query)}&shards={quote(','.join(shards))}"


def document_target(document_id: str) -> str:
    """Return the request target of one document."""
    return f"/documents/{quote(document_id, safe='')}"


def order_target(order_id: str) -> str:
    """Return the request target of one order."""
    return f"/orders/{quote(order_id, safe='')}"


def cancel_target(request_id: str) -> str:
    """Return the request target that cancels a request."""
    return f"/cancel/{quote(request_id, safe='')}"


def encode_request(
    sub_request: SubRequest, *, host: str, place: str, stamp: str, remaining_ms: int
) -> bytes:
    """Return the request encoded as HTTP/1.1."""
    head = (
        f"{sub_request.method} {sub_request.target} HTTP/1.1\r\n"
        f"host: {host}\r\n"
        f"{REQUEST_HEADER}: {sub_request.request_id}\r\n"
        f"{DEADLINE_HEADER}: {remaining_ms}\r\n"
        f"{PLACE_HEADER}: {place}\r\n"
        f"{CLOCK_HEADER}: {stamp}\r\n"
    )
    if sub_request.snapshot_version:
        head += f"{SNAPSHOT_HEADER}: {sub_request.snapshot_version}\r\n"
    if sub_request.body:
        head += (
            "content-type: application/json\r\n"
            f"content-length: {len(sub_request.body)}\r\n"
        )
    return f"{head}\r\n".encode() + sub_request.body
