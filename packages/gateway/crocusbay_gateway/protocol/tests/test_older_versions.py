"""Hosts of the previous version run beside those of this one during an upgrade."""

import msgspec
import pytest

from crocusbay_gateway.protocol import (
    Heartbeat,
    ServerReport,
    ViewQuery,
    ViewResponse,
)
from crocusbay_gateway.state import Configuration, HostStatus, ServerEntry

# Messages as the previous version encodes them: arrays, fields added at the end only.
STATUS = ["h", 1, 2, "a", "h:80", "h:81", True, False, True, 4.0, 0.1, 57, 0.5]
STATUS += [58, 59, 0.5, 0, False, True]
REPORT = ["s", 5, 12.5, 0.2]
HEARTBEAT = [STATUS, [["i", "i:81", "b"]], [], {"a": 2}, [REPORT], {"a": 8.0}, []]
QUERY = ["view", 57, 58]
RESPONSE = [57, 0.5, 58, 59, 0.5, None, [], 0]

STATUS_FIELDS = len(STATUS)


@pytest.mark.parametrize(
    ("message_type", "sent"),
    [
        (HostStatus, STATUS),
        (ServerReport, REPORT),
        (Heartbeat, HEARTBEAT),
        (ViewQuery, QUERY),
        (ViewResponse, RESPONSE),
    ],
)
def test_messages_of_the_previous_version_are_decoded(message_type, sent):
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=message_type)
    encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(decoded))
    assert _first_fields(encoded, sent) == sent


def test_status_of_the_previous_version_knows_no_eras():
    status = msgspec.msgpack.decode(msgspec.msgpack.encode(STATUS), type=HostStatus)
    assert not status.knows_eras


def test_new_fields_follow_those_of_the_previous_version():
    status = HostStatus(
        "h", 1, 2, "a", "h:80", "h:81", store_era=2, crashes_seen_revision=7
    )
    encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(status))
    assert encoded[STATUS_FIELDS:] == [None, 2, 7]


def test_objects_keep_the_fields_of_the_previous_version():
    entry = ServerEntry("x", 3, "s", "10.0.0.1:80", "a")
    assert set(msgspec.to_builtins(entry)) == {
        "name",
        "revision",
        "service",
        "address",
        "place",
        "slots",
        "is_draining",
        "is_gone",
        "cold_time",
        "started_at",
    }
    assert set(msgspec.to_builtins(Configuration(1))) == {
        "version",
        "routes",
        "services",
        "limits",
    }


def _first_fields(encoded, sent):
    """Return an encoded message without the fields that are new, also nested ones."""
    return [
        _first_fields(value, old)
        if isinstance(old, list) and isinstance(value, list) and old and value
        else value
        for value, old in zip(encoded, sent, strict=False)
    ]
