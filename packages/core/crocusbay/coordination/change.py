"""Changes of configuration: conditional, settled when an answer is lost."""

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

SETTLE_TRIES = 8
SETTLE_PAUSE_SECONDS = 0.5
MAX_HISTORY = 100
SHOWN_CHANGES = 3


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Hold a deployment's configuration and its revision; 0 if there is none."""

    revision: int
    deployment: Deployment | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """Report a change in force; `was_settled` if its first answer was lost."""

    revision: int
    was_settled: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Report a change that conflicts with later ones, newest first."""

    revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Report a change whose fate could not be found out."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Report a change that the platform did not take."""

    reason: str


ChangeResult = Accepted | Refused | Unsettled | NotWritten


class PlatformUnreadable(Exception):
    """Report that the platform can't be read."""


def make_change(
    deployment: Deployment, revision: int, author: str, note: str, time: str
) -> Change:
    """Return a change whose id is the same when it is sent again."""
    identity = f"{deployment.name}\0{revision}\0{author}\0{deployment.questionnaire}"
    return Change(xxhash.xxh3_128_hexdigest(identity.encode()), author, time, note)


async def read_config(platform: PlatformClient, name: str) -> ConfigInForce:
    """Return the configuration in force; raise PlatformUnreadable if it is not had."""
    stored = await platform.read(config_key(name))
    if stored.is_error():
        raise PlatformUnreadable(stored.error)
    return _decode(stored.ok)


async def apply_change(
    platform: PlatformClient, deployment: Deployment, revision: int, change: Change
) -> ChangeResult:
    """Write a configuration if the revision it revises is still the newest."""
    try:
        current = await read_config(platform, deployment.name)
    except PlatformUnreadable as error:
        return NotWritten(str(error))
    if current.revision != revision:
        return _judge_other(current, change)
    value = to_json(_with_history(deployment, current, change))
    key = config_key(deployment.name)
    was_lost = False
    for _ in range(SETTLE_TRIES):
        match await platform.write(key, value, revision):
            case Written(version):
                return Accepted(version, was_lost)
            case Conflicted(stored):
                return _judge_other(_decode(stored), change)
            case WriteUnknown():
                was_lost = True
            case WriteRefused(reason) if not was_lost:
                return NotWritten(reason)
            case WriteRefused():
                pass
        settled = await _settle(platform, deployment.name, revision, change)
        if settled is not None:
            return settled
        await anyio.sleep(SETTLE_PAUSE_SECONDS)
    return Unsettled("the platform did not say whether the change was taken")


async def _settle(
    platform: PlatformClient, name: str, revision: int, change: Change
) -> ChangeResult | None:
    """Read back after a lost answer; None if it is not known or not written yet."""
    try:
        current = await read_config(platform, name)
    except PlatformUnreadable:
        return None
    if current.revision == revision:
        return None
    return _judge_other(current, change)


def _judge_other(current: ConfigInForce, change: Change) -> ChangeResult:
    """Tell from the history in force whether the change is part of it."""
    history = current.deployment.history if current.deployment else ()
    if any(each.change_id == change.change_id for each in history):
        return Accepted(current.revision, was_settled=True)
    return Refused(current.revision, tuple(reversed(history[-SHOWN_CHANGES:])))


def _with_history(
    deployment: Deployment, current: ConfigInForce, change: Change
) -> Deployment:
    summary = compare_deployments(current.deployment, deployment)
    history = current.deployment.history if current.deployment else ()
    recorded = replace(change, summary=summary)
    return replace(deployment, history=(*history, recorded)[-MAX_HISTORY:])


def _decode(stored: StoredObject | None) -> ConfigInForce:
    if stored is None:
        return ConfigInForce(0, None)
    decoded = from_json(bytes(stored.value), Deployment)
    if decoded.is_error():
        raise PlatformUnreadable(f"{stored.key} is malformed: {decoded.error}")
    return ConfigInForce(stored.version, decoded.ok)
