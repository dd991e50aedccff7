import errno
import socket
import time

import pynng
import pytest

from crocusbay.protocol.caller import MAX_BODY_BYTES
from crocusbay.state import split_address

BASE = "/deployments/hemtape"
ORDERS = f"{BASE}/services/orders/orders"
CONNECTION_ENDED_ERRORS = {errno.ENOTCONN, errno.ECONNRESET, errno.EPIPE}


def send_request(cluster, method, path, content=b""):
    return cluster.http.request(
        method, f"{cluster.host_url('host-1')}{path}", content=content
    )


@pytest.mark.parametrize(
    ("method", "path", "content", "status", "field"),
    [
        ("GET", "/nothing", b"", 404, "path"),
        ("PUT", f"{BASE}/search?q=a", b"", 404, "path"),
        ("GET", "/deployments/none/search?q=a", b"", 404, "deployment"),
        ("GET", f"{BASE}/search", b"", 400, "q"),
        ("GET", f"{BASE}/search?q=", b"", 400, "q"),
        ("GET", f"{BASE}/search?q={'a' * 1001}", b"", 400, "q"),
        ("GET", f"{BASE}/search?q=%ff", b"", 400, "query string"),
        ("GET", f"{BASE}/search?{'a=1&' * 30}q=a", b"", 400, "query string"),
        ("GET", f"{BASE}/search?q=a&deadline_ms=-5", b"", 400, "deadline_ms"),
        ("GET", f"{BASE}/search?q=a&deadline_ms=0", b"", 400, "deadline_ms"),
        ("GET", f"{BASE}/search?q=a&deadline_ms=1e9", b"", 400, "deadline_ms"),
        ("GET", f"{BASE}/search?q=a&deadline_ms=99999999", b"", 400, "deadline_ms"),
        ("GET", f"{BASE}/search?q=a&deadline_ms={'9' * 5000}", b"", 400, "deadline_ms"),
        ("GET", f"{BASE}/services/none/documents/1", b"", 404, "service"),
        ("GET", f"{BASE}/services/price/documents/a%2Fb", b"", 400, "document"),
        ("GET", f"{BASE}/services/price/documents/{'a' * 200}", b"", 400, "document"),
        ("POST", f"{BASE}/services/price/orders/1", b"{}", 400, "service"),
        ("POST", f"{ORDERS}/1", b"", 400, "body"),
        ("POST", f"{ORDERS}/1", b'{"a":', 400, "body"),
        ("POST", f"{ORDERS}/1", b"\xff", 400, "body"),
        ("POST", f"{ORDERS}/1", b"[" * 60_000, 400, "body"),
        ("POST", f"{ORDERS}/1", b'"%s"' % (b"a" * MAX_BODY_BYTES), 413, "body"),
        ("POST", f"{ORDERS}/a%20b", b"{}", 400, "order"),
    ],
)
def test_bad_request_error_names_the_field(
    small_cluster, method, path, content, status, field
):
    reply = send_request(small_cluster, method, path, content)
    assert reply.status_code == status
    error = reply.json()
    assert error["field"] == field
    assert error["expected"]
    assert "Traceback" not in reply.text


def test_bad_requests_are_counted_and_later_searches_succeed(small_cluster):
    send_request(small_cluster, "GET", f"{BASE}/search")
    metrics = send_request(small_cluster, "GET", "/metrics").text
    assert 'crocusbay_bad_requests_total{field="q"}' in metrics
    assert send_request(small_cluster, "GET", f"{BASE}/search?q=a").json()[
        "is_complete"
    ]


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: x\r\nbig: " + b"a" * 100_000 + b"\r\n\r\n",
        b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
        b"GET /" + b"a" * 100_000,
    ],
)
def test_broken_http_ends_its_own_connection_alone(small_cluster, data):
    address = small_cluster.host_by_name["host-1"].startup_info["caller_address"]
    reply = b""
    with socket.create_connection(split_address(address), timeout=10) as stream:
        try:
            stream.sendall(data)
            stream.shutdown(socket.SHUT_WR)
            while part := stream.recv(4096):
                reply += part
        except OSError as error:
            # The host may end the connection before the client has sent all.
            assert error.errno in CONNECTION_ENDED_ERRORS
    assert reply == b"" or reply.startswith((b"HTTP/1.1 4", b"HTTP/1.0 4"))
    assert send_request(small_cluster, "GET", f"{BASE}/search?q=a").json()[
        "is_complete"
    ]


def test_unknown_http_version_is_answered(small_cluster):
    # h11 accepts any version; the connection ends later by the keep-alive timeout.
    address = small_cluster.host_by_name["host-1"].startup_info["caller_address"]
    with socket.create_connection(split_address(address), timeout=10) as stream:
        stream.sendall(b"GET / HTTP/9.9\r\n\r\n")
        assert stream.recv(4096).startswith(b"HTTP/1.1 404")


def test_peer_with_another_protocol_does_not_affect_searches(small_cluster):
    address = small_cluster.host_by_name["host-1"].startup_info["peer_address"]
    with socket.create_connection(split_address(address), timeout=10) as stream:
        stream.sendall(b"not the peers' protocol")
    assert send_request(small_cluster, "GET", f"{BASE}/search?q=a").json()[
        "is_complete"
    ]


def test_malformed_peer_message_is_counted(small_cluster):
    address = small_cluster.host_by_name["host-1"].startup_info["peer_address"]
    with pynng.Push0(dial=f"tcp://{address}", send_timeout=5_000) as peer:
        peer.send(b"\xc1 not MessagePack")
        timeout_at = time.monotonic() + 10
        while (
            "peer_messages_total 1.0"
            not in send_request(small_cluster, "GET", "/metrics").text
        ):
            assert time.monotonic() < timeout_at
    assert send_request(small_cluster, "GET", f"{BASE}/search?q=a").json()[
        "is_complete"
    ]


def test_document_and_missing_document(small_cluster):
    found = send_request(small_cluster, "GET", f"{BASE}/services/price/documents/d1")
    assert found.json()["verdict"] == "ran"
    assert found.json()["answer"]["document"] == "d1"
    absent = send_request(
        small_cluster, "GET", f"{BASE}/services/price/documents/absent-1"
    )
    assert absent.status_code == 404
    assert absent.json()["verdict"] == "ran"


def test_order_id_reused_with_other_content_is_refused(small_cluster):
    assert (
        send_request(small_cluster, "POST", f"{ORDERS}/o1", b"1").json()["verdict"]
        == "ran"
    )
    reply = send_request(small_cluster, "POST", f"{ORDERS}/o1", b"2")
    assert (reply.status_code, reply.json()["field"]) == (409, "order")


def test_answer_reports_its_deadline_and_coverage(small_cluster):
    reply = send_request(
        small_cluster, "GET", f"{BASE}/search?q=a&deadline_ms=1500"
    ).json()
    assert reply["deadline_ms"] == 1500
    assert reply["coverage"]["shards_total"] == 4
    assert reply["coverage_ratio"] == 1.0
    assert reply["snapshot"] == 1
