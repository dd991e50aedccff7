import asyncio

import pytest

from crocusbay_standins.soak.run import Soak, SoakPlan

SMALL = {"hosts": 3, "callers": 3, "fault_seconds": 4.0}

PLANS = [
    SoakPlan(1, **SMALL),
    # Regression: a kill and a planned stop overlapped, so the host was started twice.
    SoakPlan(39),
    # Regression: a server crashed while leaving and restarted, and the check still
    # treated it as leaving.
    SoakPlan(222),
    SoakPlan(4000, restores=1, **SMALL),
]


@pytest.mark.parametrize("plan", PLANS, ids=lambda plan: f"seed-{plan.seed}")
def test_guarantees_hold_under_faults(plan, tmp_path):
    report = asyncio.run(Soak(plan, tmp_path).run())
    assert report.violations == ()
    assert report.requests > 0
    assert report.faults
