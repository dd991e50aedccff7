"""Merging of fixed-size records from several shards, in descending order."""

from itertools import chain

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the complete records of a part; an incomplete last one is ignored.

    >>> split_records(b"a" * 16 + b"b" * 16 + b"rest") == [b"a" * 16, b"b" * 16]
    True
    """
    ends = range(RECORD_BYTES, len(body) + 1, RECORD_BYTES)
    return [body[end - RECORD_BYTES : end] for end in ends]


def greatest_records(body: bytes, top_k: int) -> list[bytes]:
    """Return the `top_k` greatest records of a part in descending order.

    >>> greatest_records(b"a" * 16 + b"b" * 16 + b"rest", 1) == [b"b" * 16]
    True
    """
    return sorted(split_records(body), reverse=True)[:top_k]


class TopRecords:
    """Track the greatest records so far, to drop those that cannot be in the reply.

    >>> merged = TopRecords(1)
    >>> merged.merge([b"b" * 16 + b"a" * 16, b"c" * 16]) == [b"", b"c" * 16]
    True
    >>> merged.merge([b"b" * 16, b"d" * 16]) == [b"", b"d" * 16]
    True
    """

    def __init__(self, top_k: int) -> None:
        self._top_k = top_k
        self._greatest: list[bytes] = []

    def merge(self, bodies: list[bytes]) -> list[bytes]:
        """Return for each part the records that may still be among the greatest."""
        parts = [split_records(body) for body in bodies]
        merged = sorted(chain(self._greatest, *parts), reverse=True)
        self._greatest = merged[: self._top_k]
        if len(merged) <= self._top_k:
            return [b"".join(records) for records in parts]
        threshold = self._greatest[-1]
        return [b"".join(r for r in records if r >= threshold) for records in parts]
