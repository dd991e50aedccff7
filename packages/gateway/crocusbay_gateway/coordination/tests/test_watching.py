import pytest

from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.watching import should_watch
from crocusbay_gateway.state import HostStatus

HOSTS = [f"host-{number}" for number in range(76)]


def status(name, beat=1, **fields):
    return HostStatus(name, 1, beat, "a", f"{name}:80", f"{name}:81", **fields)


def watchers(reaching, age, leaving=()):
    """Return the hosts that poll, if those named reach the store."""
    found = []
    for own in HOSTS:
        membership = Membership(own, "a", 1)
        for name in HOSTS:
            membership.take(
                status(
                    name,
                    reaches_store=name in reaching,
                    is_leaving=name in leaving,
                ),
                0.0,
            )
        own_reaches = own in reaching
        rank = membership.rank(own_reaches)
        is_reached = membership.is_store_reached(own_reaches)
        if should_watch(rank, age, 100.0, is_reached=is_reached):
            found.append(own)
    return found


@pytest.mark.parametrize(
    ("reaching", "age", "least", "most"),
    [
        # Calls do not grow with the hosts while views are fresh.
        (HOSTS, 0.5, 1, 1),
        (HOSTS, 30.0, 1, 4),
        # Some hosts are turned away: one of the others polls.
        (HOSTS[40:], 0.5, 1, 1),
        (HOSTS[75:], 0.5, 1, 1),
        (HOSTS[75:], 30.0, 1, 4),
        # The store is down for all: a few ask whether it is back.
        ([], 30.0, 1, 2),
    ],
)
def test_few_hosts_poll_whoever_reaches_the_store(reaching, age, least, most):
    found = watchers(set(reaching), age)
    assert least <= len(found) <= most
    if reaching:
        assert set(found) & set(reaching)


def test_host_that_is_leaving_hands_the_watch_on():
    first = watchers(set(HOSTS), 0.5)
    second = watchers(set(HOSTS), 0.5, leaving=first)
    assert [name for name in second if name not in first]


def test_host_that_hears_nobody_polls_for_itself():
    membership = Membership("host-0", "a", 1)
    for name in HOSTS:
        membership.take(status(name), 0.0)
    membership.tick(membership.lost_after + 0.1)
    rank = membership.rank(True)
    assert should_watch(rank, 0.0, 10.0, is_reached=True)
