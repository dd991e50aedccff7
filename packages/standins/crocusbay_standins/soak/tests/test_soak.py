import asyncio

import pytest

from crocusbay_standins.soak.run import Plan, Soak

SHORT = {"hosts": 3, "callers": 3, "fault_seconds": 4.0}

PLANS = [
    Plan(1, **SHORT),
    # Failed once: a kill and a planned stop overlapped, and the host was started twice.
    Plan(39),
    # Failed once: a server that crashed while leaving started anew, and the check still
    # took it for leaving.
    Plan(222),
]


@pytest.mark.parametrize("plan", PLANS, ids=lambda plan: f"seed-{plan.seed}")
def test_promises_hold_under_faults(plan, tmp_path):
    report = asyncio.run(Soak(plan, tmp_path).run())
    assert report.broken == ()
    assert report.requests > 0
    assert report.faults
