import asyncio

import pytest

from crocusbay_standins.soak.run import Plan, Soak

# Seeds that failed once, each with its cause.
REGRESSIONS = []


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_under_faults(seed, tmp_path):
    report = asyncio.run(
        Soak(Plan(seed, hosts=3, callers=3, fault_seconds=4.0), tmp_path).run()
    )
    assert report.broken == ()
    assert report.requests > 0
    assert report.faults
