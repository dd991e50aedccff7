"""Header names used by the tests."""

from crocusbay_gateway.protocol import HttpConventions

HTTP_CONVENTIONS = HttpConventions(
    attempt_id=b"X-Attempt",
    deadline_ms=b"X-Deadline",
    signature=b"X-Signature",
    expected_server=b"X-Expected",
    not_run=b"X-Not-Run",
    stated_limit=b"X-Limit",
    leaving=b"X-Leaving",
    shard_signatures=b"X-Parts",
    missing_shards=b"X-Missing",
    wrong_server_status=421,
)
