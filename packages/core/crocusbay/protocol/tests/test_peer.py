from dataclasses import replace

import pytest

from crocusbay.protocol import from_msgpack, to_msgpack
from crocusbay.protocol.peer import (
    CrashReport,
    GiveObjects,
    Heartbeat,
    PeerMessage,
    ReplicatedObject,
    WantObjects,
    decode_peer_message,
)
from crocusbay.state import Load, Member, Stamp

MEMBER = Member(
    "host-1", "sofia-1", "10.0.0.1:80", "10.0.0.1:81", 5, 6, load=Load(1, 9)
)
STAMP = Stamp(7, 8)


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(MEMBER, STAMP, (MEMBER,), (CrashReport("f", "*", "catalogue.1"),)),
        WantObjects(MEMBER, STAMP, 12),
        GiveObjects(MEMBER, STAMP, 9, (ReplicatedObject("config/a", 9, b'{"a":[1]}'),)),
    ],
)
def test_message_round_trip(message):
    assert from_msgpack(to_msgpack(message), PeerMessage).ok == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        to_msgpack({"type": "Heartbeat"}),
        to_msgpack({"type": "Unknown"}),
        to_msgpack([1, 2]),
        to_msgpack(WantObjects(MEMBER, STAMP, 12))[:-1],
        to_msgpack({"type": "WantObjects", "sender": 1, "stamp": 2, "after": "x"}),
    ],
)
def test_malformed_message_returns_error(data):
    assert from_msgpack(data, PeerMessage).is_error()


@pytest.mark.parametrize(
    "fields",
    [
        {"peer_address": ""},
        {"peer_address": "foo:81"},
        {"peer_address": "10.0.0.1:0"},
        {"name": "n" * 1_000},
        {"incarnation": 2**64 - 1},
        {"beat": -1},
    ],
)
def test_member_that_cannot_be_used_is_ignored(fields):
    odd = replace(MEMBER, **fields)
    assert decode_peer_message(to_msgpack(Heartbeat(odd, STAMP))).is_error()
    decoded = decode_peer_message(to_msgpack(Heartbeat(MEMBER, STAMP, (MEMBER, odd))))
    assert decoded.is_error() or decoded.ok.members == (MEMBER,)


def test_stamp_out_of_range_is_malformed():
    message = Heartbeat(MEMBER, Stamp(7, 2**64 - 1))
    assert decode_peer_message(to_msgpack(message)).is_error()
