"""Dialect: the header names by which callers, this system and servers agree."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dialect:
    """Name the headers of one platform, in the case in which they are sent."""

    attempt: bytes
    deadline_ms: bytes
    signature: bytes
    expected_server: bytes
    not_run: bytes
    part_signatures: bytes
    missing_parts: bytes
    wrong_server_status: int
