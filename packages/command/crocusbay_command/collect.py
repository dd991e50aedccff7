"""Fetch status and events from all hosts, starting from the members of one host."""

from typing import TypeVar

import httpx

from crocusbay.protocol import from_json
from crocusbay.protocol.caller import HostStatus
from crocusbay.state import Event, merge_events

CALL_TIMEOUT_SECONDS = 3.0

T = TypeVar("T")


class ProcessUnreachableError(Exception):
    """Report a process that is unreachable or sends an invalid reply."""


def collect_statuses(host: str) -> tuple[list[HostStatus], list[str]]:
    """Return host statuses by name, and the addresses that do not reply.

    Raise ProcessUnreachableError if `host` itself does not reply.
    """
    with _client() as client:
        first = _get(client, host, "/status", HostStatus)
        statuses = [first]
        unreachable = []
        for member in first.members:
            try:
                statuses.append(
                    _get(client, member.caller_address, "/status", HostStatus)
                )
            except ProcessUnreachableError:
                unreachable.append(member.caller_address)
    return sorted(statuses, key=lambda status: status.name), unreachable


def collect_events(
    host: str, also: tuple[str, ...], request: str
) -> tuple[list[Event], list[str]]:
    """Return events in causal order, and the addresses that do not reply.

    `also` names further processes; an empty `request` selects all events. Raise
    ProcessUnreachableError if `host` itself does not reply to /status.
    """
    path = f"/timeline?request={request}" if request else "/timeline"
    with _client() as client:
        first = _get(client, host, "/status", HostStatus)
        others = [member.caller_address for member in first.members]
        groups = []
        unreachable = []
        for address in (host, *others, *also):
            try:
                groups.append(_get(client, address, path, list[Event]))
            except ProcessUnreachableError:
                unreachable.append(address)
    return merge_events(*groups), unreachable


def _client() -> httpx.Client:
    return httpx.Client(timeout=CALL_TIMEOUT_SECONDS, trust_env=False)


def _get(client: httpx.Client, address: str, path: str, target_type: type[T]) -> T:
    try:
        response = client.get(f"http://{address}{path}")
        response.raise_for_status()
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise ProcessUnreachableError(f"{address} can't be reached: {error}") from None
    decoded = from_json(response.content, target_type)
    if decoded.is_error():
        raise ProcessUnreachableError(
            f"{address}: invalid reply to {path}: {decoded.error}"
        )
    return decoded.ok
