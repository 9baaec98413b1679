"""Shares of regions and requests that leave theirs."""

from bramleyworks.gateway import traffic

SLOTS = {"one": 10.0, "two": 40.0}


def fleet(clock):
    found = traffic.Traffic("one", 0.15, clock)
    found.update(["desk"], lambda _: {}, lambda _: SLOTS, 4)
    return found


def test_shares_move_within_the_bound():
    now = [0.0]
    one = fleet(lambda: now[0])
    history = []
    for _ in range(100):
        now[0] += 0.2
        for _ in range(40):
            one.record_request("route", "desk", 0.25)
        one.update(["desk"], lambda _: {"two": 5.0}, lambda _: SLOTS, 4)
        history.append(one.shares("desk").get("two", 0.0))
    assert history[-1] > 0.3
    steps = [b - a for a, b in zip(history, history[10:], strict=False)]
    assert max(steps) <= 0.15


def test_requests_without_room_do_not_all_leave():
    """A full region: more than the allowed shift may not leave in 2 s."""
    now = [0.0]
    one = fleet(lambda: now[0])
    now[0] = 10.0
    one.update(["desk"], lambda _: {}, lambda _: SLOTS, 4)
    left = 0
    for _ in range(200):
        now[0] += 0.01
        one.record_request("route", "desk", 0.25)
        left += one.acquire_fallback("desk")
    assert 1 <= left <= 0.15 * 200


def test_after_a_loss_of_upstreams_requests_may_leave():
    now = [0.0]
    one = fleet(lambda: now[0])
    now[0] = 10.0
    one.update(["desk"], lambda _: {}, lambda _: SLOTS, 4)
    lost = {"one": 5.0, "two": 40.0}
    one.update(["desk"], lambda _: {}, lambda _: lost, 4)
    left = 0
    for _ in range(200):
        now[0] += 0.01
        one.record_request("route", "desk", 0.25)
        left += one.acquire_fallback("desk")
    assert left == 200
