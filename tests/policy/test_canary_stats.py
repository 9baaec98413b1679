"""Guards against version comparisons that are wrong, late or count twice."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from bramleyworks.document import move as move_module
from bramleyworks.policy import canary_stats
from bramleyworks.policy import sample

MOVE = move_module.Move("m", "s", "1", "2", 0.0, 1600.0)
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)


@SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.booleans(),
            strategies.integers(0, 5),
            strategies.integers(-5, 5),
            strategies.integers(-5, 5),
        ),
        max_size=30,
    ),
    strategies.integers(1, 20),
)
def test_sequential_test_equals_the_best_of_all_restarts(steps, limit):
    """Keeping only the minimum must equal evaluating every restart."""
    test = canary_stats.SequentialTest()
    sums, starts = [(0, 0, 0)], [0]
    for restarts, events, first, second in steps:
        if restarts:
            test.restart()
            starts.append(len(sums) - 1)
        test.add(events, (first, second))
        last = sums[-1]
        sums.append((last[0] + events, last[1] + first, last[2] + second))
        wanted = False
        for part in (1, 2):
            best = min(starts, key=lambda at: (sums[at][part], at))
            wanted |= (
                sums[-1][part] - sums[best][part] >= limit
                and sums[-1][0] - sums[best][0] >= canary_stats.MIN_EVENTS
            )
        assert test.exceeds(limit) == wanted


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.floats(0.0002, 100.0), min_size=1),
    strategies.sampled_from([0.5, 0.95]),
)
def test_histogram_quantile_is_close_to_the_exact_one(latencies, part):
    histogram = canary_stats.LatencyHistogram()
    for latency_s in latencies:
        histogram.add(latency_s)
    rank = -(-round(part * 100) * len(latencies) // 100) - 1
    exact = sorted(latencies)[rank]
    assert exact * 0.99 <= histogram.quantile(part) <= exact * 1.05


def record_requests(
    analysis, version, requests, failed=0, latency_s=0.05, busy=False
):
    for number in range(requests):
        analysis.record_sample(
            sample.Sample("/x", version, number < failed, latency_s, busy)
        )


def test_lost_duplicate_and_reordered_heartbeats_count_once():
    """Counts are cumulative, so only a VM's latest heartbeat may matter."""
    reports = []
    source = canary_stats.CanaryAnalysis(MOVE, ("/x",))
    for _ in range(6):
        record_requests(source, "1", 100)
        record_requests(source, "2", 10, failed=1)
        reports.append(source.totals())
    sums = []
    for order in ([5], [0, 1, 2, 3, 4, 5], [0, 3, 1, 3, 5, 5, 2]):
        analysis = canary_stats.CanaryAnalysis(MOVE, ("/x",))
        for index in order:
            analysis.merge(("v", "i"), reports[index], 1.0)
        sums.append(analysis._pooled_tests["failed", "any load"]._events)
    assert sums == [6, 6, 6]


@pytest.mark.parametrize(
    ("bad", "wanted"),
    [
        ({"failed": 30}, "failed on /x at any load"),
        ({"latency_s": 0.1}, "slow on /x at any load"),
        ({"latency_s": 0.06}, None),
        ({"failed": 5}, None),
    ],
)
def test_only_a_relevant_difference_aborts_a_move(bad, wanted):
    """A latency ratio below 1.3 or one crashed upstream must not abort it."""
    analysis = canary_stats.CanaryAnalysis(MOVE, ("/x",))
    record_requests(analysis, "1", 2000)
    assert analysis.check(("a", "i"), 1.0) is None
    record_requests(analysis, "1", 2000)
    record_requests(analysis, "2", 60, **bad)
    reason = analysis.check(("a", "i"), 2.0)
    assert reason == (wanted and f"more requests {wanted}")


def test_samples_under_load_are_not_compared_with_idle_ones():
    """The new version's few upstreams run at full load and are slower."""
    analysis = canary_stats.CanaryAnalysis(MOVE, ("/x",))
    record_requests(analysis, "1", 4000, latency_s=0.05)
    record_requests(analysis, "1", 120, latency_s=0.2, busy=True)
    analysis.check(("a", "i"), 1.0)
    record_requests(analysis, "1", 4000, latency_s=0.05)
    record_requests(analysis, "1", 120, latency_s=0.2, busy=True)
    record_requests(analysis, "2", 500, latency_s=0.2, busy=True)
    assert analysis.check(("a", "i"), 2.0) is None


def test_fault_of_both_versions_does_not_abort_a_move():
    """An outage of a dependency of both versions must not undo the move."""
    rng = random.Random(7)
    analysis = canary_stats.CanaryAnalysis(MOVE, ("/x",))
    for second in range(200):
        rate = 0.2 if second > 100 else 0.001
        for _ in range(100):
            version = "2" if rng.random() < 0.1 else "1"
            analysis.record_sample(
                sample.Sample("/x", version, rng.random() < rate, 0.05, False)
            )
        assert analysis.check(("a", "i"), float(second)) is None
