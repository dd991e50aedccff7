"""Collects status and events from the hosts, as one host knows them."""

from typing import TypeVar

import httpx

from crocusbay.protocol import from_json
from crocusbay.protocol.caller import HostStatus
from crocusbay.state import Event, merge_events

CALL_TIMEOUT_SECONDS = 3.0

T = TypeVar("T")


class ServiceUnreachable(Exception):
    """Report a process that can't be reached or answers nonsense."""


def collect_statuses(host: str) -> tuple[list[HostStatus], list[str]]:
    """Return the status of each host, and the addresses that do not answer.

    Raise ServiceUnreachable if the first host does not answer.
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
            except ServiceUnreachable:
                unreachable.append(member.caller_address)
    return sorted(statuses, key=lambda status: status.name), unreachable


def collect_events(
    host: str, also: tuple[str, ...], request: str
) -> tuple[list[Event], list[str]]:
    """Return the merged events of all processes, and who does not answer.

    Raise ServiceUnreachable if the first host does not answer.
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
            except ServiceUnreachable:
                unreachable.append(address)
    return merge_events(*groups), unreachable


def _client() -> httpx.Client:
    return httpx.Client(timeout=CALL_TIMEOUT_SECONDS, trust_env=False)


def _get(client: httpx.Client, address: str, path: str, kind: type[T]) -> T:
    try:
        response = client.get(f"http://{address}{path}")
        response.raise_for_status()
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise ServiceUnreachable(f"{address} can't be reached: {error}") from None
    decoded = from_json(response.content, kind)
    if decoded.is_error():
        raise ServiceUnreachable(f"{address} answers {path} with {decoded.error}")
    return decoded.ok
