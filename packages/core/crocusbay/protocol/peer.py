"""Messages between hosts."""

import msgspec

from crocusbay.state import Member, Stamp

MAX_PEER_MESSAGE_BYTES = 8 * 1024 * 1024


class Strike(msgspec.Struct, frozen=True, tag=False):
    """Count the servers of a service that a request crashed."""

    fingerprint: str
    service: str
    upstream: str


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Tell what the sender is, whom it knows, and how far its objects reach."""

    sender: Member
    stamp: Stamp
    members: tuple[Member, ...] = ()
    strikes: tuple[Strike, ...] = ()


class CarriedObject(msgspec.Struct, frozen=True):
    """Hold an object between hosts; the value is JSON as the platform stores it."""

    key: str
    version: int
    value: bytes


class WantObjects(msgspec.Struct, frozen=True, tag=True):
    """Ask for the objects changed after a revision."""

    sender: Member
    stamp: Stamp
    after: int


class GiveObjects(msgspec.Struct, frozen=True, tag=True):
    """Hand over objects and the revision they reach."""

    sender: Member
    stamp: Stamp
    revision: int
    objects: tuple[CarriedObject, ...]


PeerMessage = Heartbeat | WantObjects | GiveObjects
