"""Header names used by the tests."""

from crocusbay_gateway.protocol import Dialect

DIALECT = Dialect(
    attempt=b"X-Attempt",
    deadline_ms=b"X-Deadline",
    signature=b"X-Signature",
    expected_server=b"X-Expected",
    not_run=b"X-Not-Run",
    part_signatures=b"X-Parts",
    missing_parts=b"X-Missing",
    wrong_server_status=421,
)
