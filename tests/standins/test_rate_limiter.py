"""Guards against a rate limit that is too loose for tests to reach it."""

from bramleyworks_standins import rate_limiter


def test_burst_is_one_second_of_calls_then_the_rate_applies():
    now_s = 0.0
    limit = rate_limiter.RateLimiter(clock=lambda: now_s)
    assert all(limit.try_acquire() for _ in range(1000))
    limit.set_rate(300.0)
    assert sum(limit.try_acquire() for _ in range(1000)) == 300
    admitted = 0
    for step in range(1, 1001):
        now_s = step / 500
        admitted += limit.try_acquire()
    assert 598 <= admitted <= 600
