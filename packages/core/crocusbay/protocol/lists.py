"""Lists of the platform: an item that can't be used costs itself alone."""

from typing import Any

import msgspec

from crocusbay.protocol.platform import (
    HostList,
    Key,
    ListedHost,
    ObjectList,
    StoredObject,
)
from crocusbay.state import Ordinal, Upstream, UpstreamStatus, split_server_address
from crocusbay.state.json_spans import decode_each, item_spans, member_spans

Problems = tuple[str, ...]


def decode_objects(content: bytes) -> tuple[ObjectList, Problems]:
    """Return the objects that can be decoded, and why others can't.

    Raise ValueError if the list itself is malformed.
    """
    try:
        return _decode(content, ObjectList), ()
    except ValueError:
        members = member_spans(content)
    spans = item_spans(members.get(b"objects", b"[]"))
    objects, problems = decode_each(spans, _decode_object)
    revision = _decode(members.get(b"revision", b""), Ordinal)
    return ObjectList(revision, objects), problems


def decode_hosts(content: bytes) -> tuple[HostList, Problems]:
    """Return the hosts that can be reached, and why others can't.

    Raise ValueError if the list itself is malformed.
    """

    def decode_host(span: bytes) -> ListedHost:
        host = _decode(span, ListedHost)
        split_server_address(host.peer_address)
        return host

    hosts, problems = _decode_items(content, b"hosts", decode_host)
    return HostList(hosts), problems


def decode_upstreams(content: bytes) -> tuple[UpstreamStatus, Problems]:
    """Return the servers that can be used, and why others can't.

    Raise ValueError if the list itself is malformed.
    """

    def decode_upstream(span: bytes) -> Upstream:
        upstream = _decode(span, Upstream)
        split_server_address(upstream.address)
        return upstream

    upstreams, problems = _decode_items(content, b"upstreams", decode_upstream)
    return UpstreamStatus(upstreams), problems


def _decode_object(content: bytes) -> StoredObject:
    """Return an object whose value may be malformed."""
    members = member_spans(content)
    return StoredObject(
        _decode(members.get(b"key", b""), Key),
        _decode(members.get(b"version", b""), Ordinal),
        msgspec.Raw(members.get(b"value", b"null")),
    )


def _decode_items(content: bytes, name: bytes, decode: Any) -> tuple[tuple, Problems]:
    return decode_each(item_spans(member_spans(content).get(name, b"[]")), decode)


def _decode(content: bytes, item_type: Any) -> Any:
    try:
        return msgspec.json.decode(content, type=item_type)
    except RecursionError as error:
        raise ValueError("values are nested too deeply") from error
