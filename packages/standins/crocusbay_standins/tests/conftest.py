import pytest

from crocusbay_standins.behaviour import Model
from crocusbay_standins.lab import LabSetup, running_lab
from crocusbay_standins.tests.world import make_deployment

CALM = Model(service_ms=1.0, straggler_share=0.0, one_way_ms=0.0, jitter_ms=0.0)


@pytest.fixture(scope="module")
def small_lab():
    with running_lab(LabSetup(make_deployment(), 1, 1, CALM)) as lab:
        yield lab
