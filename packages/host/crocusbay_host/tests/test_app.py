import msgspec
import pytest

from crocusbay.protocol.platform import StoredObject
from crocusbay.state import HybridClock
from crocusbay.state.keys import CONFIG_PREFIX
from crocusbay.state.settings import Settings
from crocusbay_host.app import App
from crocusbay_host.host import Host

pytestmark = pytest.mark.anyio

SETTINGS = Settings(
    "host-1", "a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", (), 2.0, 30.0, "info"
)


async def get(host, path):
    """Return the status, headers and body of the reply to a GET request."""
    sent = []

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "GET",
        "path": path,
        "query_string": b"q=a",
        "headers": [],
    }
    await App(host)(scope, None, send)
    return sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"]


async def test_host_without_configuration_does_not_deny_a_deployment():
    host = Host(SETTINGS, HybridClock())
    assert (await get(host, "/health"))[0] == 503
    status, headers, body = await get(host, "/deployments/d/search")
    assert (status, headers[b"retry-after"]) == (503, b"1")
    assert msgspec.json.decode(body)["verdict"] == "not-run"
    other = StoredObject(f"{CONFIG_PREFIX}other", 1, msgspec.Raw(b"null"))
    host._cache.merge([other], 1)
    assert (await get(host, "/health"))[0] == 200
    assert (await get(host, "/deployments/d/search"))[0] == 404
