"""Decisions of VMs that may be cut off from upstreams."""

import pytest

from bramleyworks.policy import isolation

CONTACT = isolation.Reach.CONTACT
UNKNOWN = isolation.Reach.UNKNOWN
NONE = isolation.Reach.NONE


def _peer(name, region="one", reach=CONTACT):
    return isolation.Peer(name, region, f"{name}:1", reach)


def _rank(*candidates, in_flight=(), regions=(), limit=4, needs_contact=False):
    ranked = isolation.rank_peers(
        candidates,
        dict(in_flight),
        "one",
        frozenset(regions),
        limit,
        needs_contact,
    )
    return [peer.id for peer in ranked]


@pytest.mark.parametrize(
    ("failed", "quiet_s", "is_suspect"),
    [
        (0, 60.0, False),
        (1, 0.1, False),
        (1, 0.5, True),
        (2, 0.0, True),
    ],
)
def test_one_failure_beside_responses_is_no_reason_to_probe(
    failed, quiet_s, is_suspect
):
    assert isolation.is_suspect(failed, quiet_s) == is_suspect


def test_slow_requests_are_overdue_later_than_fast_ones():
    assert isolation.overdue_after_s(0.01) == isolation.MIN_OVERDUE_S
    assert isolation.overdue_after_s(2.0) == pytest.approx(6.0)


def test_vm_that_reaches_no_upstream_gets_no_request():
    assert _rank(_peer("a", reach=NONE), _peer("b")) == ["b"]


def test_idle_vm_is_asked_after_one_with_contact_or_not_at_all():
    peers = [_peer("a", reach=UNKNOWN), _peer("b", "two")]
    assert _rank(*peers) == ["b", "a"]
    assert _rank(*peers, needs_contact=True) == ["b"]


def test_request_stays_in_the_regions_that_may_see_it():
    peers = [_peer("a"), _peer("b", "two")]
    assert _rank(*peers) == ["a", "b"]
    assert _rank(*peers, regions={"two"}) == ["b"]


def test_vm_without_room_gets_no_request():
    peers = [_peer("a"), _peer("b"), _peer("c", "two")]
    in_flight = {"a": 4, "b": 3}
    assert _rank(*peers, in_flight=in_flight) == ["b", "c"]


def test_look_ups_name_cut_vms_only_if_no_other_has_contact():
    """Guards against look-ups that send all callers to the last idle VM."""
    reach = {"a": NONE, "b": UNKNOWN, "c": CONTACT}
    assert isolation.entry_candidates("abc", reach) == {"b", "c"}
    assert isolation.entry_candidates("ab", reach) == {"a", "b"}
    assert isolation.entry_candidates("a", reach) == {"a"}
