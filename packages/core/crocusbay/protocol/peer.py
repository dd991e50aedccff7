"""Messages between hosts."""

import msgspec
from expression import Error, Ok, Result

from crocusbay.protocol.codec import from_msgpack
from crocusbay.protocol.platform import Key
from crocusbay.state import Member, Name, Ordinal, Stamp, split_server_address

MAX_PEER_MESSAGE_BYTES = 8 * 1024 * 1024


class CrashReport(msgspec.Struct, frozen=True, tag=False):
    """Report that a request crashed one server of a service, `age_ms` ago."""

    fingerprint: Name
    service: Name
    upstream: Name
    age_ms: Ordinal = 0


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Describe the sender (with its object revision) and the members it knows.

    `strikes` lists the most recent crashes that the sender has recorded.
    """

    sender: Member
    stamp: Stamp
    members: tuple[Member, ...] = ()
    strikes: tuple[CrashReport, ...] = ()


class ReplicatedObject(msgspec.Struct, frozen=True):
    """Object of the platform sent between hosts; the value is the platform's JSON."""

    key: Key
    version: Ordinal
    value: bytes


class WantObjects(msgspec.Struct, frozen=True, tag=True):
    """Request the objects changed after a revision."""

    sender: Member
    stamp: Stamp
    after: Ordinal


class GiveObjects(msgspec.Struct, frozen=True, tag=True):
    """Send objects, complete up to a revision."""

    sender: Member
    stamp: Stamp
    revision: Ordinal
    objects: tuple[ReplicatedObject, ...]


PeerMessage = Heartbeat | WantObjects | GiveObjects


def decode_peer_message(data: bytes) -> Result[PeerMessage, str]:
    """Return a message without the members that can't be reached.

    Return the reason if it is malformed, or its sender can't be reached.
    """
    decoded = from_msgpack(data, PeerMessage)
    if decoded.is_error():
        return decoded
    message = decoded.ok
    try:
        split_server_address(message.sender.peer_address)
    except ValueError as error:
        return Error(str(error))
    if isinstance(message, Heartbeat):
        members = tuple(filter(_is_reachable, message.members))
        message = msgspec.structs.replace(message, members=members)
    return Ok(message)


def _is_reachable(member: Member) -> bool:
    try:
        split_server_address(member.peer_address)
    except ValueError:
        return False
    return True
