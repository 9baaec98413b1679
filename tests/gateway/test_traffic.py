"""Shares of regions and fallback to other regions."""

from bramleyworks.gateway import traffic

SLOTS = {"one": 10.0, "two": 40.0}


def create_traffic(clock):
    created = traffic.Traffic("one", 0.15, clock)
    created.update(["desk"], lambda _: {}, lambda _: SLOTS, 4)
    return created


def test_shares_change_within_the_shift_limit():
    now = [0.0]
    regional_traffic = create_traffic(lambda: now[0])
    history = []
    for _ in range(100):
        now[0] += 0.2
        for _ in range(40):
            regional_traffic.record_request("route", "desk", 0.25)
        regional_traffic.update(
            ["desk"], lambda _: {"two": 5.0}, lambda _: SLOTS, 4
        )
        history.append(regional_traffic.shares("desk").get("two", 0.0))
    assert history[-1] > 0.3
    steps = [b - a for a, b in zip(history, history[10:], strict=False)]
    assert max(steps) <= 0.15


def test_fallback_from_a_full_region_is_limited():
    """Requests to a full region must not exceed the shift allowed in 2 s."""
    now = [0.0]
    regional_traffic = create_traffic(lambda: now[0])
    now[0] = 10.0
    regional_traffic.update(["desk"], lambda _: {}, lambda _: SLOTS, 4)
    fallbacks = 0
    for _ in range(200):
        now[0] += 0.01
        regional_traffic.record_request("route", "desk", 0.25)
        fallbacks += regional_traffic.acquire_fallback("desk")
    assert 1 <= fallbacks <= 0.15 * 200


def test_fallback_is_unlimited_after_a_loss_of_upstreams():
    now = [0.0]
    regional_traffic = create_traffic(lambda: now[0])
    now[0] = 10.0
    regional_traffic.update(["desk"], lambda _: {}, lambda _: SLOTS, 4)
    lost = {"one": 5.0, "two": 40.0}
    regional_traffic.update(["desk"], lambda _: {}, lambda _: lost, 4)
    fallbacks = 0
    for _ in range(200):
        now[0] += 0.01
        regional_traffic.record_request("route", "desk", 0.25)
        fallbacks += regional_traffic.acquire_fallback("desk")
    assert fallbacks == 200
