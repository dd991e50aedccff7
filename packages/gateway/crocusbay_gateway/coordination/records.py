"""Records of gathered answers: sixteen bytes each, the greatest first."""

from itertools import chain

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a part; what is left over is none.

    >>> split_records(b"a" * 16 + b"b" * 16 + b"rest") == [b"a" * 16, b"b" * 16]
    True
    """
    ends = range(RECORD_BYTES, len(body) + 1, RECORD_BYTES)
    return [body[end - RECORD_BYTES : end] for end in ends]


def greatest_records(body: bytes, top: int) -> list[bytes]:
    """Return the greatest records of a part, greatest first.

    >>> greatest_records(b"a" * 16 + b"b" * 16 + b"rest", 1) == [b"b" * 16]
    True
    """
    return sorted(split_records(body), reverse=True)[:top]


class TopRecords:
    """Keep the greatest records seen, so that those that can't matter stay behind.

    >>> merged = TopRecords(1)
    >>> merged.merge([b"b" * 16 + b"a" * 16, b"c" * 16]) == [b"", b"c" * 16]
    True
    >>> merged.merge([b"b" * 16, b"d" * 16]) == [b"", b"d" * 16]
    True
    """

    def __init__(self, top: int) -> None:
        self._top = top
        self._greatest: list[bytes] = []

    def merge(self, bodies: list[bytes]) -> list[bytes]:
        """Return of each part the records that may be among the greatest of all."""
        parts = [split_records(body) for body in bodies]
        merged = sorted(chain(self._greatest, *parts), reverse=True)
        self._greatest = merged[: self._top]
        if len(merged) <= self._top:
            return [b"".join(records) for records in parts]
        least = self._greatest[-1]
        return [b"".join(r for r in records if r >= least) for records in parts]
