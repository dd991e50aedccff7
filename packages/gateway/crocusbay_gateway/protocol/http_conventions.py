"""Platform-specific HTTP header names and status codes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpConventions:
    """Define the header names of a platform, in the case used on the wire.

    `wrong_server_status` is the status by which a server reports that the request was
    meant for another server.
    """

    attempt_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_server: bytes
    not_run: bytes
    shard_signatures: bytes
    missing_shards: bytes
    wrong_server_status: int
