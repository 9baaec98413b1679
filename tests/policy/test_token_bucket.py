"""Guards against buckets that together admit more than the limit."""

import hypothesis
import pytest
from hypothesis import strategies

from bramleyworks.policy import token_bucket

RATE_PER_S = 16.0
BURST = 8.0
PARTS = (0.25, 0.25, 0.5)
INDEX = strategies.integers(0, len(PARTS) - 1)
EVENTS = strategies.one_of(
    strategies.tuples(
        strategies.just("pass"),
        strategies.sampled_from((0.01, 0.25, 0.5, 0.99, 1.0, 1.01, 3.0)),
    ),
    strategies.tuples(
        strategies.just("take"), INDEX, strategies.sampled_from((0.5, 1, 4))
    ),
    strategies.tuples(
        strategies.just("lend"),
        INDEX,
        INDEX,
        strategies.sampled_from((1, 4, 99)),
    ),
    # Shares change in two steps: first lowered on one VM, later raised on
    # another.
    strategies.tuples(strategies.just("share"), INDEX, INDEX),
)


def drain_bucket(bucket, now_s):
    taken = 0.0
    amount = 8.0
    while amount > 0.01:
        bucket, ok = token_bucket.take(bucket, now_s, amount)
        if ok:
            taken += amount
        else:
            amount /= 2
    return bucket, taken


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(strategies.lists(EVENTS, max_size=40), INDEX)
def test_buckets_admit_no_more_than_one_global_bucket(events, last):
    now_s = 0.0
    parts = list(PARTS)
    lowered_s = [-9.0] * len(parts)
    free = 0.0
    level = 0.0
    buckets = [
        token_bucket.with_share(
            token_bucket.create(now_s),
            now_s,
            RATE_PER_S * part,
            BURST * part,
        )
        for part in parts
    ]
    for event in [*events, ("pass", 1.005), ("drain",)]:
        kind, *args = event
        if kind == "pass":
            now_s += args[0]
            level = min(BURST, level + RATE_PER_S * args[0])
        elif kind == "take":
            index, amount = args
            buckets[index], ok = token_bucket.take(
                buckets[index], now_s, amount
            )
            level -= amount if ok else 0.0
        elif kind == "lend":
            lender, borrower, amount = args
            if lender == borrower:
                continue
            buckets[lender], granted = token_bucket.lend(
                buckets[lender], now_s, amount, 0.0
            )
            buckets[borrower] = token_bucket.add_borrowed(
                buckets[borrower],
                now_s,
                granted,
                now_s + token_bucket.LOAN_LIFETIME_S,
            )
        elif kind == "share":
            low, high = args
            if parts[low] >= 0.125:
                parts[low] -= 0.125
                free += 0.125
                lowered_s[low] = now_s
            elif free and now_s - max(lowered_s) >= token_bucket.LENDER_HOLD_S:
                parts[high] += free
                free = 0.0
            for index, part in enumerate(parts):
                buckets[index] = token_bucket.with_share(
                    buckets[index], now_s, RATE_PER_S * part, BURST * part
                )
        else:
            order = [last, *(i for i in range(len(parts)) if i != last)]
            for index in order:
                buckets[index], taken = drain_bucket(buckets[index], now_s)
                level -= taken
        assert level >= -1e-9


def full_bucket(now_s=0.0):
    bucket = token_bucket.with_share(
        token_bucket.create(now_s), now_s, 10.0, 10.0
    )
    return token_bucket.advance(bucket, now_s + 1.0)


def test_lender_refills_only_after_the_loan_ends():
    bucket, granted = token_bucket.lend(full_bucket(), 1.0, 8.0, 0.0)
    assert granted == 8.0
    assert token_bucket.advance(bucket, 2.0).tokens == 2.0
    late = token_bucket.advance(bucket, 2.11)
    # Filling to the restored capacity in one step would give 10.0 here.
    assert late.tokens == pytest.approx(3.0)


def test_lower_share_counts_tokens_lent_under_the_higher_one():
    bucket, _ = token_bucket.lend(full_bucket(), 1.0, 4.0, 0.0)
    assert token_bucket.with_share(bucket, 1.0, 5.0, 5.0).tokens == 1.0
    assert token_bucket.with_share(bucket, 1.0, 0.0, 0.0).tokens == 0.0


def test_higher_share_adds_no_tokens():
    assert (
        token_bucket.with_share(full_bucket(), 1.0, 20.0, 20.0).tokens == 10.0
    )


def test_expired_borrowed_tokens_are_not_used():
    empty = token_bucket.create(0.0)
    bucket = token_bucket.add_borrowed(empty, 0.0, 3.0, 1.0)
    assert token_bucket.take(bucket, 0.999, 1.0)[1]
    assert not token_bucket.take(bucket, 1.0, 1.0)[1]
    assert token_bucket.add_borrowed(empty, 1.0, 3.0, 1.0).borrowed == ()


def test_backward_time_adds_no_tokens():
    bucket = full_bucket()
    assert token_bucket.advance(bucket, 0.5) == bucket


def test_reserve_is_not_lent():
    bucket, granted = token_bucket.lend(full_bucket(), 1.0, 9.0, 4.0)
    assert granted == 6.0
    assert token_bucket.lend(bucket, 1.0, 1.0, 4.0)[1] == 0.0
