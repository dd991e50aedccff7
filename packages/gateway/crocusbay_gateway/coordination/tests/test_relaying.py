"""Replays parts in other data centres, gathered for a host by one beside them."""

import asyncio
import random

import msgspec
import pytest

from crocusbay.state import Cause, MayHaveRun, NotRun
from crocusbay_gateway.coordination.attempt import RouteTiming
from crocusbay_gateway.coordination.gather import Gather
from crocusbay_gateway.coordination.partial import PartialPolicy, least_parts
from crocusbay_gateway.coordination.relay import (
    RELAYS_PER_PLACE,
    choose_relays,
    flush_time,
)
from crocusbay_gateway.coordination.relayed import RelayedGathers
from crocusbay_gateway.coordination.relaying import Relay
from crocusbay_gateway.coordination.tests.replay import (
    DIALECT,
    World,
    finish,
    make_request,
    make_route,
    settle,
)
from crocusbay_gateway.protocol import RelayAnswer, RelayLeave, RelayQuery
from crocusbay_gateway.state import HostStatus, ToShards

SHARDS = tuple(f"s{number}" for number in range(6))
SERVERS = {shard: [(f"{shard}-a", "a"), (f"{shard}-b", "b")] for shard in SHARDS}
TOP = 20
GOAL = 0.15


def status(name, place="a", gather_time=0.01, **changes):
    fields = {"is_ready": True, "gather_time": gather_time, **changes}
    return HostStatus(name, 1, 1, place, f"{name}:80", f"{name}:90", **fields)


class Link:
    """Stand in for a connection: messages cross at once, their bytes are counted."""

    def __init__(self):
        self.is_closed = False
        self.is_silent = False
        self.bytes = 0
        self.sent = []
        self.on_message = None
        self.on_lost = None

    def send(self, message):
        data = msgspec.msgpack.encode(message)
        self.bytes += len(data)
        self.sent.append(message)
        if not self.is_silent:
            kind = RelayAnswer if isinstance(message, RelayAnswer) else None
            kind = kind or RelayQuery | RelayLeave
            self.on_message(self, msgspec.msgpack.decode(data, type=kind))

    def abort(self):
        self.is_closed = True
        self.on_lost(self)


class Pair:
    """Hold a host in data centre c, and one in a and b each that gathers for it."""

    def __init__(self, bounds=None):
        self.world = World(SERVERS, place="c", bounds=bounds)
        self.route = make_route(ToShards(SHARDS, TOP, 0.6), goal=GOAL)
        self.timing = RouteTiming(GOAL)
        self.lost = []
        self.peers = {place: self._join(place) for place in "ab"}
        self.relays = {place: relay for place, (_, relay, _) in self.peers.items()}
        object.__setattr__(self.world.context, "relays", self)

    def to(self, place):
        relay = self.relays[place]
        return relay if relay.is_open() else None

    def received(self):
        """Return how many requests each server got, from the host itself or relayed."""
        counts = self.world.received()
        for peer, _, _ in self.peers.values():
            for name, count in peer.received().items():
                counts[name] += count
        return counts

    def direct(self):
        return sum(self.world.received().values())

    def script(self, name, **changes):
        for world in (self.world, *(peer for peer, _, _ in self.peers.values())):
            world.script(name, **changes)

    def gather(self, deadline=1.0):
        now = self.world.timers.now()
        policy = PartialPolicy(
            answer_by=now + GOAL - 0.02,
            give_up_at=now + deadline,
            shards=len(SHARDS),
            least_parts=least_parts(self.route.target),
        )
        request = make_request(self.world, "a1", deadline)
        return Gather(self.world.context, request, self.route, self.timing, policy)

    def _join(self, place):
        peer = World(SERVERS, place=place, timers=self.world.timers)
        gathers = RelayedGathers(
            peer.context, lambda query: (self.route, RouteTiming(GOAL))
        )
        relay = Relay(
            status(f"host-{place}", place),
            self.world.timers,
            lambda connect: None,
            lambda relay, reason: self.lost.append(reason),
        )
        near, far = Link(), Link()
        near.on_message = lambda link, message: gathers.take(far, message)
        far.on_message = lambda link, message: relay._handle_answer(near, message)
        near.on_lost = relay._handle_disconnect
        relay._idle_connections.append(near)
        return peer, relay, (near, far)


def signatures(reply):
    return set(dict(reply.headers)[DIALECT.part_signatures].split(b", "))


@pytest.mark.anyio
async def test_remote_parts_cross_merged():
    pair = Pair()
    bodies = {}
    rng = random.Random(1)
    for shard in SHARDS:
        bodies[shard] = rng.randbytes(16 * 60)
        for place in "ab":
            pair.script(f"{shard}-{place}", body=bodies[shard])
    reply, _ = await finish(pair.world, pair.gather())
    everything = b"".join(bodies.values())
    records = sorted(
        (everything[start : start + 16] for start in range(0, len(everything), 16)),
        reverse=True,
    )
    assert reply.status == 200
    assert reply.body == b"".join(records[:TOP])
    assert len(signatures(reply)) == len(SHARDS)
    assert dict(reply.headers)[DIALECT.missing_parts] == b"0"
    assert pair.direct() == 0
    assert sum(pair.received().values()) == len(SHARDS)
    crossed = sum(far.bytes for _, _, (_, far) in pair.peers.values())
    assert crossed < len(everything) / 3


@pytest.mark.anyio
async def test_paused_server_costs_its_part_a_hedge_and_no_other_part():
    pair = Pair()
    for shard in SHARDS:
        pair.script(f"{shard}-a", seconds=0.01)
        pair.script(f"{shard}-b", seconds=0.01)
    await finish(pair.world, pair.gather())
    first = next(name for name, count in pair.received().items() if count)
    shard = first.partition("-")[0]
    pair.script(f"{shard}-a", seconds=0.3)
    job = pair.gather()
    reply, elapsed = await finish(pair.world, job)
    assert len(signatures(reply)) == len(SHARDS)
    assert elapsed < GOAL
    assert job.hedges <= 1


@pytest.mark.anyio
async def test_part_that_fails_beside_a_relay_moves_on_at_once():
    pair = Pair()
    for shard in SHARDS:
        pair.script(f"{shard}-a", seconds=0.002, verdict=NotRun(Cause.SHED))
    reply, elapsed = await finish(pair.world, pair.gather())
    assert len(signatures(reply)) == len(SHARDS)
    # Sent again before the other parts come back together.
    assert elapsed < flush_time(0.15 * GOAL, 0.0) + 0.01


@pytest.mark.anyio
@pytest.mark.parametrize(
    "silent",
    ["a", "b", "ab"],
)
async def test_relays_that_go_silent_cost_extras_and_no_answer(silent):
    pair = Pair()
    links = [pair.peers[place][2][0] for place in silent]
    for near in links:
        near.is_silent = True
    reply, elapsed = await finish(pair.world, pair.gather())
    assert reply.status == 200
    assert len(signatures(reply)) == len(SHARDS)
    assert elapsed <= GOAL
    # Once closed, parts cross on their own.
    await pair.world.timers.advance(GOAL)
    for place in silent:
        assert (
            pair.peers[place][2][0].is_closed
            or not pair.relays[place]._consecutive_timeouts
        )
    reply, _ = await finish(pair.world, pair.gather())
    assert len(signatures(reply)) == len(SHARDS)
    assert max(pair.received().values()) <= 3


@pytest.mark.anyio
async def test_caller_that_leaves_frees_the_servers_of_a_relay():
    pair = Pair()
    for shard in SHARDS:
        pair.script(f"{shard}-a", verdict=None)
        pair.script(f"{shard}-b", verdict=None)
    task = asyncio.ensure_future(pair.gather().run())
    await settle()
    await pair.world.timers.advance(0.01)
    task.cancel()
    await settle()
    await pair.world.timers.advance(0.01)
    closed = sum(
        pool.closed
        for peer, _, _ in pair.peers.values()
        for pool in peer.pool_by_server.values()
    )
    assert closed == len(SHARDS)


@pytest.mark.anyio
async def test_host_that_is_gone_frees_the_servers_that_work_for_it():
    pair = Pair()
    peer, _, (_, far) = pair.peers["a"]
    for shard in SHARDS:
        peer.script(f"{shard}-a", verdict=None)
    gathers = RelayedGathers(
        peer.context, lambda query: (pair.route, RouteTiming(GOAL))
    )
    sends = tuple((shard, f"{shard}-a") for shard in SHARDS)
    query = RelayQuery(1, "a1", "GET", "/x", "h", (), b"", 1.0, 0.05, TOP, sends)
    far.on_message = lambda link, message: None
    gathers.take(far, msgspec.convert(msgspec.to_builtins(query), RelayQuery))
    await pair.world.timers.advance(0.01)
    gathers.lose(far)
    assert gathers.running == 0
    assert sum(pool.closed for pool in peer.pool_by_server.values()) == len(SHARDS)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("plan", "cause"),
    [(Cause.OVERLOAD, Cause.OVERLOAD), ("unknown-server", Cause.NO_UPSTREAM)],
)
async def test_what_is_not_relayed_is_refused_at_once_and_not_sent(plan, cause):
    pair = Pair()
    peer, _, (_, far) = pair.peers["a"]
    answers = []
    far.on_message = lambda link, message: answers.append(message)
    taken = (pair.route, RouteTiming(GOAL)) if plan == "unknown-server" else plan
    gathers = RelayedGathers(peer.context, lambda query: taken)
    sends = (("s0", "not-there"),)
    query = RelayQuery(1, "a1", "GET", "/x", "h", (), b"", 1.0, 0.05, TOP, sends)
    gathers.take(far, msgspec.convert(msgspec.to_builtins(query), RelayQuery))
    (answer,) = answers
    (failure,) = answer.failures
    assert (failure.cause, failure.is_sent, failure.may_have_run) == (
        cause,
        False,
        False,
    )
    assert gathers.running == 0


@pytest.mark.parametrize(
    ("hosts", "expected"),
    [
        ([], set()),
        ([status("h1", "b")], set()),
        ([status("h1"), status("h2", is_leaving=True)], {"h1"}),
        ([status("h1"), status("h2", is_ready=False)], {"h1"}),
        # Hosts with a slow link or processor would hold up every part.
        ([status("h1"), status("h2", gather_time=0.1)], {"h1"}),
    ],
)
def test_relays_are_hosts_that_can_serve(hosts, expected):
    assert {host.name for host in choose_relays("own", "a", hosts)} == expected


def test_hosts_of_a_large_data_centre_share_the_work_of_relays():
    hosts = [status(f"h{number}") for number in range(20)]
    chosen = [choose_relays(f"own-{n}", "a", hosts) for n in range(60)]
    assert all(len(each) == RELAYS_PER_PLACE for each in chosen)
    assert len({host.name for each in chosen for host in each}) > 15


def test_lost_relay_says_nothing_about_servers():
    pair = Pair()
    before = [s.failure_rate for s in _health(pair)]
    for health in _health(pair):
        health.learn(MayHaveRun(Cause.CANCELLED), 0.0, 0.02, 1.0)
    assert [s.failure_rate for s in _health(pair)] == before


def _health(pair):
    registry = pair.world.registry
    return [s.health for servers in registry.by_service.values() for s in servers]
