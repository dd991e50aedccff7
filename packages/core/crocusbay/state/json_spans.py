"""Spans of the values in a JSON text, found without recursion.

A decoder rejects a text as a whole if one value in it is nested too deeply or has an
invalid escape. The spans of the other values can still be decoded one by one.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

_SPACE = re.compile(rb"[ \t\r\n]*+")
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_SCALAR = re.compile(rb"[^ \t\r\n,:\]}\[{\"]++")
# Runs of brackets keep the number of matches low in deeply nested values.
_NESTED = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]++|[\]}]++', re.DOTALL)


def item_spans(text: bytes) -> list[bytes]:
    """Return the items of an array; raise ValueError if it is cut off.

    >>> item_spans(b'[1, [2, 3], "a"]')
    [b'1', b'[2, 3]', b'"a"']
    """
    return [text[start:end] for start, end in _elements(text, b"[", b"]")]


def member_spans(text: bytes) -> dict[bytes, bytes]:
    """Return the members of an object by their names; raise ValueError if cut off.

    >>> member_spans(b'{"a": {"b": 1}, "c": null}')
    {b'a': b'{"b": 1}', b'c': b'null'}
    """
    members = {}
    elements = _elements(text, b"{", b"}", has_names=True)
    for start, end in elements:
        name = text[start:end]
        start, end = next(elements)
        members[name[1:-1]] = text[start:end]
    return members


def decode_each(
    spans: list[bytes], decode: Callable[[bytes], Any]
) -> tuple[tuple, tuple[str, ...]]:
    """Return what can be decoded, and why the rest can't.

    `decode` raises ValueError for what can't be decoded.

    >>> decode_each([b"1", b"x", b"2"], int)
    ((1, 2), ("invalid literal for int() with base 10: b'x'",))
    """
    decoded, problems = [], []
    for span in spans:
        try:
            decoded.append(decode(span))
        except ValueError as error:
            problems.append(str(error))
    return tuple(decoded), tuple(problems)


def _elements(
    text: bytes, opening: bytes, closing: bytes, *, has_names: bool = False
) -> Iterator[tuple[int, int]]:
    """Yield the spans of the elements of a container, with `has_names` names too."""
    position = _skip_space(text, 0)
    if text[position : position + 1] != opening:
        raise ValueError(f"expected {opening!r} at byte {position}")
    position = _skip_space(text, position + 1)
    if text[position : position + 1] == closing:
        return
    while True:
        if has_names:
            end = _string_end(text, position)
            yield position, end
            position = _skip_space(text, end)
            if text[position : position + 1] != b":":
                raise ValueError(f"expected ':' at byte {position}")
            position = _skip_space(text, position + 1)
        end = _value_end(text, position)
        yield position, end
        position = _skip_space(text, end)
        separator = text[position : position + 1]
        if separator == closing:
            return
        if separator != b",":
            raise ValueError(f"expected ',' or {closing!r} at byte {position}")
        position = _skip_space(text, position + 1)


def _skip_space(text: bytes, position: int) -> int:
    return _SPACE.match(text, position).end()


def _string_end(text: bytes, position: int) -> int:
    match = _STRING.match(text, position)
    if match is None:
        raise ValueError(f"expected a string at byte {position}")
    return match.end()


def _value_end(text: bytes, position: int) -> int:
    """Return the end of the value at a position; its content is not checked."""
    first = text[position : position + 1]
    if first in (b"[", b"{"):
        return _container_end(text, position)
    if first == b'"':
        return _string_end(text, position)
    match = _SCALAR.match(text, position)
    if match is None:
        raise ValueError(f"expected a value at byte {position}")
    return match.end()


def _container_end(text: bytes, position: int) -> int:
    depth = 0
    for match in _NESTED.finditer(text, position):
        start, end = match.span()
        if text[start] in b"[{":
            depth += end - start
        elif text[start] in b"]}":
            if depth <= end - start:
                return start + depth
            depth -= end - start
    raise ValueError(f"value at byte {position} is cut off")
