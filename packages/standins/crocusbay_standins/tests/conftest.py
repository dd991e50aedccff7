import pytest

from crocusbay_standins.local_cluster import LocalClusterConfig, run_local_cluster
from crocusbay_standins.simulated_server import SimulationConfig
from crocusbay_standins.tests.in_process_cluster import make_deployment

NO_NETWORK_DELAY_MODEL = SimulationConfig(
    service_ms=1.0, straggler_share=0.0, one_way_ms=0.0, jitter_ms=0.0
)


@pytest.fixture(scope="module")
def small_cluster():
    with run_local_cluster(
        LocalClusterConfig(make_deployment(), 1, 1, NO_NETWORK_DELAY_MODEL)
    ) as cluster:
        yield cluster
