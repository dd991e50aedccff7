import pytest

from crocusbay.protocol import to_json
from crocusbay.protocol.lists import decode_hosts, decode_objects, decode_upstreams
from crocusbay.protocol.platform import ListedHost
from crocusbay.state import Upstream

DEEP = b"[" * 100_000 + b"]" * 100_000
HOST = ListedHost("host-1", "sofia-1", "10.0.0.1:80", "10.0.0.1:81")
UPSTREAM = Upstream("a", "catalogue-1", "sofia-1", "10.0.0.1:80")
ODD_ITEMS = [
    DEEP,
    b"null",
    b'"\\ud800"',
    b'{"name": "x"}',
    b'{"key": 5, "version": 1, "value": 1}',
    b'{"key": "a", "version": 1' + b"0" * 400 + b', "value": 1}',
]


@pytest.mark.parametrize("odd", ODD_ITEMS, ids=range(len(ODD_ITEMS)))
@pytest.mark.parametrize(
    ("decode", "field", "item"),
    [
        (decode_objects, "objects", b'{"key": "b", "version": 2, "value": [1]}'),
        (decode_hosts, "hosts", to_json(HOST)),
        (decode_upstreams, "upstreams", to_json(UPSTREAM)),
    ],
)
def test_odd_item_costs_itself_alone(decode, field, item, odd):
    content = b'{"revision": 7, "%b": [%b, %b, %b]}' % (field.encode(), odd, item, odd)
    decoded, problems = decode(content)
    assert len(getattr(decoded, field)) == 1
    assert len(problems) == 2


@pytest.mark.parametrize("address", ["", "foo:80", "10.0.0.1:0", "10.0.0.1:70000"])
def test_item_that_cannot_be_reached_is_ignored(address):
    host = ListedHost("host-1", "sofia-1", "10.0.0.1:80", address)
    upstream = Upstream("a", "catalogue-1", "sofia-1", address)
    assert decode_hosts(b'{"hosts": [%b]}' % to_json(host))[0].hosts == ()
    content = b'{"upstreams": [%b]}' % to_json(upstream)
    assert decode_upstreams(content)[0].upstreams == ()


@pytest.mark.parametrize("decode", [decode_objects, decode_hosts, decode_upstreams])
@pytest.mark.parametrize("content", [b"", b"[]", b'{"objects": [', b'{"hosts": [{"a"'])
def test_list_that_is_cut_off_is_rejected(decode, content):
    with pytest.raises(ValueError):
        decode(content)
