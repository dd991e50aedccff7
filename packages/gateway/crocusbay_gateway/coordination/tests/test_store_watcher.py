import pytest

from crocusbay_gateway.coordination.membership import Membership
from crocusbay_gateway.coordination.store_watcher import should_poll
from crocusbay_gateway.state import HostStatus

HOSTS = [f"host-{number}" for number in range(76)]


def status(name, heartbeat_number=1, **fields):
    fields.setdefault("store_era", 1)
    return HostStatus(
        name, 1, heartbeat_number, "a", f"{name}:80", f"{name}:81", **fields
    )


def polling_hosts(reaching, age, leaving=()):
    """Return the hosts that poll if exactly those in `reaching` reach the store."""
    polling = []
    for own_name in HOSTS:
        membership = Membership(own_name, "a", 1)
        for name in HOSTS:
            membership.update(
                status(
                    name,
                    reaches_store=name in reaching,
                    is_leaving=name in leaving,
                ),
                0.0,
            )
        own_reaches_store = own_name in reaching
        rank = membership.polling_rank(own_reaches_store)
        is_reached = membership.is_store_reached(own_reaches_store)
        if should_poll(rank, age, 100.0, is_reached=is_reached):
            polling.append(own_name)
    return polling


@pytest.mark.parametrize(
    ("reaching", "age", "minimum", "maximum"),
    [
        # While views are fresh, the number of calls does not grow with the hosts.
        (HOSTS, 0.5, 1, 1),
        (HOSTS, 30.0, 1, 4),
        # The store rejects some hosts: one of the others polls.
        (HOSTS[40:], 0.5, 1, 1),
        (HOSTS[75:], 0.5, 1, 1),
        (HOSTS[75:], 30.0, 1, 4),
        # The store is down for all hosts: a few poll until it is back.
        ([], 30.0, 1, 2),
    ],
)
def test_few_hosts_poll_in_any_state_of_the_store(reaching, age, minimum, maximum):
    polling = polling_hosts(set(reaching), age)
    assert minimum <= len(polling) <= maximum
    if reaching:
        assert set(polling) & set(reaching)


def test_another_host_polls_when_the_polling_one_leaves():
    first = polling_hosts(set(HOSTS), 0.5)
    second = polling_hosts(set(HOSTS), 0.5, leaving=first)
    assert [name for name in second if name not in first]


def test_isolated_host_polls():
    membership = Membership("host-0", "a", 1)
    for name in HOSTS:
        membership.update(status(name), 0.0)
    membership.expire(membership.loss_timeout + 0.1)
    rank = membership.polling_rank(True)
    assert should_poll(rank, 0.0, 10.0, is_reached=True)


def test_host_polls_if_no_other_one_notices_a_restore_of_the_store():
    membership = Membership("host-0", "a", 1)
    for name in HOSTS:
        membership.update(status(name, store_era=None), 0.0)
    assert membership.polling_rank(True) == 0
