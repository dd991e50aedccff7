"""Messages between hosts."""

import msgspec

from crocusbay.state import Member, Stamp

MAX_PEER_MESSAGE_BYTES = 8 * 1024 * 1024


class CrashReport(msgspec.Struct, frozen=True, tag=False):
    """Report that a request crashed one server of a service, `age_ms` ago."""

    fingerprint: str
    service: str
    upstream: str
    age_ms: int = 0


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

    key: str
    version: int
    value: bytes


class WantObjects(msgspec.Struct, frozen=True, tag=True):
    """Request the objects changed after a revision."""

    sender: Member
    stamp: Stamp
    after: int


class GiveObjects(msgspec.Struct, frozen=True, tag=True):
    """Send objects, complete up to a revision."""

    sender: Member
    stamp: Stamp
    revision: int
    objects: tuple[ReplicatedObject, ...]


PeerMessage = Heartbeat | WantObjects | GiveObjects
