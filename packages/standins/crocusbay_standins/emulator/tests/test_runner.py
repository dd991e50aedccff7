import pytest

from crocusbay_standins.emulator.runner import run_emulated_soak
from crocusbay_standins.soak.run import SoakPlan

SMALL = {"hosts": 3, "callers": 3, "fault_seconds": 4.0}

PLANS = [
    SoakPlan(1, **SMALL),
    # Hosts in three data centres relay parts to each other.
    SoakPlan(2000, hosts=6, data_centres=3),
    # Regression: after a host's clock was set back and the host killed, the others
    # ignored it for a minute, since its restart looked older than the previous start.
    SoakPlan(1007),
    # Regression: the same fault, after planned stops and further kills.
    SoakPlan(1069),
    SoakPlan(1070),
    SoakPlan(1087),
    SoakPlan(3000, crashing_requests=3),
    SoakPlan(4000, restores=2),
    SoakPlan(8000, crashing_requests=2, crashing_orders=1, has_varied_crashes=True),
]


@pytest.mark.parametrize("plan", PLANS, ids=lambda plan: f"seed-{plan.seed}")
def test_guarantees_hold_under_faults(plan, tmp_path):
    report = run_emulated_soak(plan, tmp_path)
    assert report.violations == ()
    assert report.served > 0
    assert report.faults


def test_seed_is_reproducible(tmp_path):
    first, second = (
        run_emulated_soak(SoakPlan(2, **SMALL), tmp_path) for _ in range(2)
    )
    assert first == second
