"""Codecs: typed values to and from JSON and MessagePack."""

from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

T = TypeVar("T")

_json_encoder = msgspec.json.Encoder()
_pack_encoder = msgspec.msgpack.Encoder()


def to_json(value: Any) -> bytes:
    """Return the value as JSON."""
    return _json_encoder.encode(value)


def from_json(data: bytes | str, kind: type[T]) -> Result[T, str]:
    """Return the value of the type in JSON, or what is wrong and where."""
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(str(error))


def to_pack(value: Any) -> bytes:
    """Return the value as MessagePack."""
    return _pack_encoder.encode(value)


def from_pack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Return the value of the type in MessagePack, or what is wrong and where."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(str(error))
