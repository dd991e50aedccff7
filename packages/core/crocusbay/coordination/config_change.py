"""Conditional changes of configuration, confirmed by a read if a response is lost."""

from dataclasses import dataclass, replace

import anyio
import xxhash

from crocusbay.protocol.codec import from_json, to_json
from crocusbay.protocol.platform import (
    Conflicted,
    StoredObject,
    WriteRefused,
    WriteUnknown,
    Written,
)
from crocusbay.state import Change, Deployment
from crocusbay.state.keys import config_key
from crocusbay.state.questionnaire import compare_deployments
from crocusbay.transport import PlatformClient

CONFIRM_ATTEMPTS = 8
CONFIRM_PAUSE_SECONDS = 0.5
MAX_HISTORY = 100
MAX_REPORTED_CHANGES = 3


@dataclass(frozen=True, slots=True)
class CurrentConfig:
    """Current configuration of a deployment and its revision, 0 if none."""

    revision: int
    deployment: Deployment | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """Report an accepted change; `was_confirmed` if an earlier response was lost."""

    revision: int
    was_confirmed: bool = False


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report a conflict with the changes accepted in the meantime, newest first."""

    revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Report a change that may or may not have been written."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Report a change that was not written."""

    reason: str


ChangeResult = Accepted | Conflict | Unconfirmed | NotWritten


class PlatformReadError(Exception):
    """Report a failed or malformed read from the platform."""


def make_change(
    deployment: Deployment, revision: int, author: str, note: str, time: str
) -> Change:
    """Return a change whose id stays the same when it is sent again."""
    identity = f"{deployment.name}\0{revision}\0{author}\0{deployment.questionnaire}"
    return Change(xxhash.xxh3_128_hexdigest(identity.encode()), author, time, note)


async def read_config(platform: PlatformClient, name: str) -> CurrentConfig:
    """Return the current configuration; raise PlatformReadError if that fails."""
    stored = await platform.read(config_key(name))
    if stored.is_error():
        raise PlatformReadError(stored.error)
    return _decode(stored.ok)


async def apply_change(
    platform: PlatformClient, deployment: Deployment, revision: int, change: Change
) -> ChangeResult:
    """Write a configuration if the revision that it is based on is still current."""
    try:
        current = await read_config(platform, deployment.name)
    except PlatformReadError as error:
        return NotWritten(str(error))
    if current.revision != revision:
        return _check_history(current, change)
    value = to_json(_with_history(deployment, current, change))
    key = config_key(deployment.name)
    may_be_written = False
    for _ in range(CONFIRM_ATTEMPTS):
        match await platform.write(key, value, revision):
            case Written(version):
                return Accepted(version, may_be_written)
            case Conflicted(stored):
                return _check_history(_decode(stored), change)
            case WriteUnknown():
                may_be_written = True
            case WriteRefused(reason) if not may_be_written:
                return NotWritten(reason)
            case WriteRefused():
                pass
        confirmed = await _confirm(platform, deployment.name, revision, change)
        if confirmed is not None:
            return confirmed
        await anyio.sleep(CONFIRM_PAUSE_SECONDS)
    return Unconfirmed("the platform did not confirm whether the change was written")


async def _confirm(
    platform: PlatformClient, name: str, revision: int, change: Change
) -> ChangeResult | None:
    """Read back after a lost response; return None if unreadable or not written yet."""
    try:
        current = await read_config(platform, name)
    except PlatformReadError:
        return None
    if current.revision == revision:
        return None
    return _check_history(current, change)


def _check_history(current: CurrentConfig, change: Change) -> ChangeResult:
    """Return Accepted if the current history includes the change, else Conflict."""
    history = current.deployment.history if current.deployment else ()
    if any(each.change_id == change.change_id for each in history):
        return Accepted(current.revision, was_confirmed=True)
    return Conflict(current.revision, tuple(reversed(history[-MAX_REPORTED_CHANGES:])))


def _with_history(
    deployment: Deployment, current: CurrentConfig, change: Change
) -> Deployment:
    summary = compare_deployments(current.deployment, deployment)
    history = current.deployment.history if current.deployment else ()
    recorded = replace(change, summary=summary)
    return replace(deployment, history=(*history, recorded)[-MAX_HISTORY:])


def _decode(stored: StoredObject | None) -> CurrentConfig:
    if stored is None:
        return CurrentConfig(0, None)
    decoded = from_json(bytes(stored.value), Deployment)
    if decoded.is_error():
        raise PlatformReadError(f"{stored.key} is malformed: {decoded.error}")
    return CurrentConfig(stored.version, decoded.ok)
