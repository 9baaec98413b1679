"""Guards the store's limits: too loose and no test meets them."""

from bramleyworks_standins import call_limit


def test_limit_admits_one_second_at_once_and_then_the_rate():
    now_s = 0.0
    limit = call_limit.CallLimit(clock=lambda: now_s)
    assert all(limit.try_take() for _ in range(1000))
    limit.set_rate(300.0)
    assert sum(limit.try_take() for _ in range(1000)) == 300
    admitted = 0
    for step in range(1, 1001):
        now_s = step / 500
        admitted += limit.try_take()
    assert 598 <= admitted <= 600
