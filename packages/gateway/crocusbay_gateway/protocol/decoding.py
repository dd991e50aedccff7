"""Decoding of what other processes send: any malformed data is a ValueError."""

from typing import Any, Protocol


class Decoder(Protocol):
    """Decode a message of one type."""

    def decode(self, data: bytes) -> Any:
        """Return the message; raise ValueError or RecursionError if malformed."""


def decode_message(decoder: Decoder, data: bytes) -> Any:
    """Return a decoded message; raise ValueError if it is malformed."""
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise ValueError("values are nested too deeply") from error
