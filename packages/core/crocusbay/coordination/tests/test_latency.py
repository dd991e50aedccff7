import pytest

from crocusbay.coordination.latency import DECAY_SECONDS, LatencyEstimate


def estimate_of(*samples):
    estimate = LatencyEstimate()
    for sample in samples:
        estimate.add(sample, 0.0)
    return estimate


@pytest.mark.parametrize(
    ("samples", "low", "high"),
    [
        ([0.01], 0.03, 0.031),
        ([0.01] * 100, 0.01, 0.011),
        ([0.01] * 100 + [0.05], 0.04, 0.06),
    ],
)
def test_bound_follows_mean_and_deviation(samples, low, high):
    assert low <= estimate_of(*samples).upper_bound <= high


def test_abandoned_wait_counts_only_above_mean():
    estimate = estimate_of(0.01)
    estimate.add_lower_bound(0.001, 0.0)
    assert estimate.mean == 0.01
    estimate.add_lower_bound(0.1, 0.0)
    assert estimate.mean > 0.01


def test_expected_latency_of_slow_server_decays():
    slow, fast = estimate_of(1.0), estimate_of(0.01)
    assert slow.expected(0.0) > fast.expected(0.0)
    assert slow.expected(6 * DECAY_SECONDS) < fast.expected(0.0)
