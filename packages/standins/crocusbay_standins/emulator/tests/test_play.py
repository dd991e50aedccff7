import pytest

from crocusbay_standins.emulator.play import play
from crocusbay_standins.soak.run import Plan

SMALL = {"hosts": 3, "callers": 3, "fault_seconds": 4.0}

PLANS = [
    Plan(1, **SMALL),
    # Hosts in three data centres relay parts to each other.
    Plan(2000, hosts=6, places=3),
    # Regression: after a host's clock was set back and the host killed, the others
    # ignored it for a minute, since its restart looked older than the previous start.
    Plan(1007),
    # Regression: the same fault, after planned stops and further kills.
    Plan(1069),
    Plan(1070),
    Plan(1087),
]


@pytest.mark.parametrize("plan", PLANS, ids=lambda plan: f"seed-{plan.seed}")
def test_guarantees_hold_under_faults(plan, tmp_path):
    report = play(plan, tmp_path)
    assert report.broken == ()
    assert report.served > 0
    assert report.faults


def test_seed_is_reproducible(tmp_path):
    first, second = (play(Plan(2, **SMALL), tmp_path) for _ in range(2))
    assert first == second
