"""Guards against tokens that are counted twice and against too many asks."""

import itertools
import math

import pytest

from bramleyworks.policy import token_borrowing
from bramleyworks.policy import token_bucket

PEERS = tuple(f"vm{index}" for index in range(9))


def make_borrower(demand_per_s=20.0, tokens=0.0, now_s=10.0):
    """Returns a borrower and its bucket, which is short of tokens."""
    borrower = token_borrowing.Borrower(now_s, demand_per_s=demand_per_s)
    bucket = token_bucket.TokenBucket(tokens, now_s, 5.0, 10.0)
    return borrower, bucket


def ask_peers(
    borrower,
    bucket,
    now_s=10.0,
    waiting=0.0,
    same_region=PEERS,
    other_regions=(),
):
    ids = itertools.count(1)
    return token_borrowing.ask_peers(
        borrower,
        bucket,
        now_s,
        waiting,
        same_region,
        other_regions,
        10.0,
        5.0,
        99,
        ids.__next__,
        0.3,
    )


def test_duplicate_and_invalid_grants_add_no_tokens():
    borrower, bucket = make_borrower()
    borrower, asks = ask_peers(borrower, bucket)
    first = asks[0]
    grant = (first.peer, first.ask_id, first.amount)
    after, refilled = token_borrowing.on_grant(borrower, bucket, 10.1, *grant)
    assert token_bucket.available(refilled) > first.amount
    again, unchanged = token_borrowing.on_grant(after, refilled, 10.1, *grant)
    assert unchanged == refilled
    for peer, ask_id, amount in (
        ("other", first.ask_id, 1.0),
        (first.peer, 999, 1.0),
        (first.peer, first.ask_id, first.amount + 1.0),
        (first.peer, first.ask_id, -1.0),
        (first.peer, first.ask_id, math.nan),
    ):
        _, unchanged = token_borrowing.on_grant(
            borrower, bucket, 10.1, peer, ask_id, amount
        )
        assert unchanged == bucket


def test_loan_expires_a_second_after_the_ask_not_after_the_grant():
    borrower, bucket = make_borrower()
    borrower, asks = ask_peers(borrower, bucket)
    _, bucket = token_borrowing.on_grant(
        borrower, bucket, 10.9, asks[0].peer, asks[0].ask_id, asks[0].amount
    )
    assert bucket.borrowed[0][0] == 11.0


def test_late_grant_is_dropped():
    borrower, bucket = make_borrower()
    borrower, asks = ask_peers(borrower, bucket)
    _, bucket = token_borrowing.on_grant(
        borrower, bucket, 11.0, asks[0].peer, asks[0].ask_id, asks[0].amount
    )
    assert bucket.borrowed == ()


def test_no_ask_while_tokens_suffice():
    borrower, bucket = make_borrower(demand_per_s=4.0, tokens=10.0)
    assert ask_peers(borrower, bucket)[1] == ()


def test_asks_per_second_are_bounded():
    borrower, bucket = make_borrower(demand_per_s=500.0)
    sent = 0
    for tick in range(200):
        now_s = 10.0 + tick * 0.05
        borrower = token_borrowing.update_demand(borrower, now_s, 25.0, 25)
        borrower, asks = ask_peers(borrower, bucket, now_s, waiting=5.0)
        for sent_ask in asks:
            borrower, _ = token_borrowing.on_grant(
                borrower,
                bucket,
                now_s,
                sent_ask.peer,
                sent_ask.ask_id,
                sent_ask.amount,
            )
        sent += len(asks)
    assert sent <= token_borrowing.ASKS_PER_S * 10 + token_borrowing.ASKS_BURST


def test_backoff_of_an_unresponsive_peer_grows():
    borrower, bucket = make_borrower()
    backoffs = []
    for tick in range(400):
        now_s = 10.0 + tick * 0.05
        borrower = token_borrowing.update_demand(borrower, now_s, 1.0, 1)
        borrower, _ = ask_peers(borrower, bucket, now_s, same_region=("dead",))
        backoffs.append(borrower.peers["dead"].backoff_s)
    assert backoffs[-1] == token_borrowing.MAX_BACKOFF_S
    assert backoffs == sorted(backoffs)


def test_waiting_request_asks_the_same_region_first():
    borrower, bucket = make_borrower(demand_per_s=1.0)
    _, asks = ask_peers(
        borrower,
        bucket,
        waiting=1.0,
        same_region=("near",),
        other_regions=("far1", "far2"),
    )
    assert asks[0].peer == "near"


@pytest.mark.parametrize("amount", [0.0, -1.0, math.nan, math.inf])
def test_invalid_amount_is_granted_nothing(amount):
    borrower, _ = make_borrower()
    bucket = token_bucket.TokenBucket(10.0, 10.0, 5.0, 10.0)
    assert token_borrowing.on_ask(borrower, bucket, 10.0, amount) == (
        bucket,
        0.0,
    )


def test_lender_keeps_tokens_for_its_own_demand():
    bucket = token_bucket.TokenBucket(10.0, 10.0, 5.0, 10.0)
    busy = token_borrowing.Borrower(10.0, demand_per_s=8.0)
    idle = token_borrowing.Borrower(10.0)
    assert token_borrowing.on_ask(busy, bucket, 10.0, 99.0)[1] == 5.0
    assert token_borrowing.on_ask(idle, bucket, 10.0, 99.0)[1] == 10.0


def test_capacity_below_one_request_is_lent_completely():
    bucket = token_bucket.TokenBucket(0.5, 10.0, 0.5, 0.5)
    busy = token_borrowing.Borrower(10.0, demand_per_s=1.0)
    assert token_borrowing.on_ask(busy, bucket, 10.0, 1.0)[1] == 0.5


def test_pause_drops_pending_asks():
    borrower, bucket = make_borrower()
    borrower, asks = ask_peers(borrower, bucket)
    assert asks
    assert token_borrowing.on_pause(borrower, 20.0).pending == ()
