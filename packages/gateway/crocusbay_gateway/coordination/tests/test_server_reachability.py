"""Replay of what a host observes when links or servers fail."""

import pytest

from crocusbay_gateway.coordination.server_reachability import (
    DOUBT_PROBES,
    REGAIN_PROBES,
    ReachabilityChange,
    ServerReachability,
)

LOST, REGAINED, NONE = (
    ReachabilityChange.LOST,
    ReachabilityChange.REGAINED,
    ReachabilityChange.NONE,
)


def replay(events):
    """Return the reachability after (seconds, event, argument) in order."""
    reachability = ServerReachability()
    for at, event, argument in events:
        match event:
            case "sent":
                for _ in range(argument):
                    reachability.record_attempt(at)
            case "response":
                reachability.record_response(at)
            case "connected":
                reachability.record_connected()
            case "refused":
                for number in range(argument):
                    reachability.record_connect_failed(f"s-{number}")
            case "round":
                reachability.record_round(*argument, at)
    return reachability


@pytest.mark.parametrize(
    ("events", "at", "probes"),
    [
        ([], 1.0, 0),
        # Requests to all shards of which none responds.
        ([(0.0, "sent", 20)], 0.1, 0),
        ([(0.0, "sent", 20)], 0.25, DOUBT_PROBES),
        ([(0.0, "sent", 20), (0.05, "response", 0)], 0.25, 0),
        # A few slow requests.
        ([(0.0, "sent", 4)], 5.0, 0),
        # Connections are refused while others live on.
        ([(0.0, "refused", 2)], 0.1, 0),
        ([(0.0, "refused", 3)], 0.1, DOUBT_PROBES),
        ([(0.0, "refused", 3), (0.1, "response", 0)], 0.1, DOUBT_PROBES),
        ([(0.0, "refused", 3), (0.1, "connected", 0)], 0.1, 0),
        # Doubts that a round has removed or confirmed.
        ([(0.0, "refused", 3), (0.1, "round", (1, 8))], 1.0, 0),
        ([(0.0, "refused", 3), (0.1, "round", (0, 8))], 0.2, 0),
        ([(0.0, "refused", 3), (0.1, "round", (0, 8))], 0.4, REGAIN_PROBES),
    ],
)
def test_servers_are_probed_while_there_are_doubts(events, at, probes):
    assert replay(events).probe_count(at) == probes


def test_one_round_is_in_progress_at_a_time():
    reachability = replay([(0.0, "refused", 3)])
    assert reachability.probe_count(1.0) == DOUBT_PROBES
    assert reachability.probe_count(1.1) == 0


@pytest.mark.parametrize(
    ("was_cut_off", "connected", "probed", "change"),
    [
        (False, 0, 8, LOST),
        (False, 1, 8, NONE),
        (False, 0, 0, NONE),
        (True, 0, 3, NONE),
        # One of three may be a link that comes and goes.
        (True, 1, 3, NONE),
        (True, 2, 3, REGAINED),
        (True, 1, 1, REGAINED),
        (True, 0, 0, NONE),
    ],
)
def test_round_of_probes_decides(was_cut_off, connected, probed, change):
    reachability = ServerReachability()
    reachability.is_cut_off = was_cut_off
    assert reachability.record_round(connected, probed, 1.0) is change
    assert reachability.is_cut_off == (was_cut_off ^ (change is not NONE))
