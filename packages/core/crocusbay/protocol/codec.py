"""Encoding and decoding of typed values as JSON and MessagePack."""

from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

T = TypeVar("T")

_json_encoder = msgspec.json.Encoder()
_msgpack_encoder = msgspec.msgpack.Encoder()


def to_json(value: Any) -> bytes:
    """Return the value encoded as JSON."""
    return _json_encoder.encode(value)


def from_json(data: bytes | str, target_type: type[T]) -> Result[T, str]:
    """Return the decoded value, or a message that says what is wrong and where."""
    try:
        return Ok(msgspec.json.decode(data, type=target_type))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(str(error))


def to_msgpack(value: Any) -> bytes:
    """Return the value encoded as MessagePack."""
    return _msgpack_encoder.encode(value)


def from_msgpack(data: bytes, target_type: type[T]) -> Result[T, str]:
    """Return the decoded value, or a message that says what is wrong and where."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=target_type))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(str(error))
