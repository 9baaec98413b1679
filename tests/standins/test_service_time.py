"""Guards against service times that a seed does not reproduce."""

import statistics

import pytest

from bramleyworks_standins import service_time
from bramleyworks_standins import upstream_options


@pytest.mark.parametrize("kind", ["fixed", "exponential", "lognormal"])
def test_same_seed_gives_same_draws_with_the_set_mean(kind):
    options = upstream_options.UpstreamOptions(
        mean_ms=20, distribution=kind, seed=7
    )
    first, second = (service_time.ServiceTime(options) for _ in range(2))
    draws = [first.draw_s() for _ in range(20_000)]
    assert draws == [second.draw_s() for _ in range(20_000)]
    assert statistics.fmean(draws) == pytest.approx(0.020, rel=0.05)


def test_service_time_falls_to_normal_over_the_cold_start():
    clock_readings_s = iter((0.0, 0.0, 2.0, 4.0, 9.0))
    options = upstream_options.UpstreamOptions(
        mean_ms=10, cold_s=4.0, cold_factor=3.0
    )
    times = service_time.ServiceTime(
        options, clock=lambda: next(clock_readings_s)
    )
    factors = [times.draw_s() / 0.010 for _ in range(4)]
    assert factors == pytest.approx([3.0, 2.0, 1.0, 1.0])
