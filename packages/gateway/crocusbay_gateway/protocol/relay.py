"""Messages by which a host has parts gathered by another one."""

import msgspec

from crocusbay.state import Cause


class RelayedSend(msgspec.Struct, frozen=True, array_like=True):
    """Name the server that is to be asked for one part."""

    service: str
    server: str


class RelayQuery(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Ask a host to send a request to servers beside it (seconds).

    Parts that are in after `flush_after` go back together, the others one by one;
    `remaining` is how long the servers have. `top` is how many records the caller gets.
    """

    number: int
    attempt: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    remaining: float
    flush_after: float
    top: int
    sends: tuple[RelayedSend, ...]


class RelayLeave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Tell that some sends of a query are of no use any more."""

    number: int
    sends: tuple[int, ...]


class RelayedPart(msgspec.Struct, frozen=True, array_like=True):
    """Hold a part: its greatest records, and how long its server took (seconds)."""

    send: int
    elapsed: float
    signature: bytes
    records: bytes


class RelayedFailure(msgspec.Struct, frozen=True, array_like=True):
    """Tell why a send gave no part; `is_sent` says whether its server got it."""

    send: int
    is_sent: bool
    may_have_run: bool
    cause: Cause
    detail: str = ""


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hand over what has come of a query since the last answer."""

    number: int
    parts: tuple[RelayedPart, ...] = ()
    failures: tuple[RelayedFailure, ...] = ()
