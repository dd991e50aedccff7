"""Messages of the platform's object API."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from crocusbay.state import Name, Ordinal

Key = Annotated[str, msgspec.Meta(max_length=1_024)]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Object as stored; its version is the store's revision at its last write."""

    key: Key
    version: Ordinal
    value: msgspec.Raw


@dataclass(frozen=True, slots=True)
class ObjectList:
    """List changed objects, complete up to a revision."""

    revision: Ordinal
    objects: tuple[StoredObject, ...] = ()


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Describe one host in the platform's list, which lags behind its state."""

    name: Name
    place: Name
    caller_address: Name
    peer_address: Name
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class HostList:
    """List the hosts known to the platform."""

    hosts: tuple[ListedHost, ...] = ()


@dataclass(frozen=True, slots=True)
class Written:
    """Confirm a write with the object's new version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Reject a write because the stored version is not the expected one."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """Report a write that may or may not have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class WriteRefused:
    """Report a write that did not take effect."""

    reason: str


WriteResult = Written | Conflicted | WriteUnknown | WriteRefused
