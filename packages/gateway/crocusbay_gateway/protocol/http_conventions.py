"""Platform-specific HTTP header names and status codes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpConventions:
    """Define the header names of a platform, in the case used on the wire.

    `wrong_server_status` is the status by which a server reports that the request was
    meant for another server. `stated_limit` is the header by which a server states the
    requests per second that it takes from all hosts together, and `leaving` the one by
    which it states that it leaves.
    """

    attempt_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_server: bytes
    not_run: bytes
    stated_limit: bytes
    leaving: bytes
    shard_signatures: bytes
    missing_shards: bytes
    wrong_server_status: int
