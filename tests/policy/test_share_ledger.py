"""Guards against two VMs that use the same units or own one upstream."""

import math

import pytest

from bramleyworks.messages import heartbeat
from bramleyworks.policy import fleet_view
from bramleyworks.policy import ledger
from bramleyworks.policy import ledger_entry
from bramleyworks.policy import member
from bramleyworks.policy import share_ledger

FLEET = ("vm0", "vm1", "vm2", "vm3", "vm4")


def entry(units, incarnation="1", region="a", upstreams=()):
    return ledger_entry.LedgerEntry(incarnation, units, region, upstreams)


def value(members, epoch=1, removal_epoch=0):
    free = ledger.TOTAL_UNITS - sum(item.units for item in members.values())
    return ledger.Ledger(
        epoch, ledger.TOTAL_UNITS, free, members, removal_epoch
    )


def view(now_s, epochs, listed=FLEET, heard_s=None):
    """Returns the view of vm0, given the ledger epochs of its live peers."""
    live = {
        name: member.Member(
            heartbeat.Heartbeat(
                name, "1", 1, "a", "1", "", "", 1, 0.0, False, epoch, {}
            ),
            now_s,
        )
        for name, epoch in epochs.items()
    }
    heard = {name: now_s for name in epochs} | (heard_s or {})
    return fleet_view.FleetView(
        "vm0", live, frozenset(listed), received_s=heard
    )


def holder(now_s, members, **kwargs):
    """Returns the state of vm0 after it has read a ledger."""
    state = share_ledger.ShareState("vm0", "1", "a", now_s)
    return share_ledger.on_read(
        state, now_s, now_s, value(members, **kwargs), 1
    )


def tick(state, now_s):
    return share_ledger.on_tick(state, now_s, 0.5)


def next_write(state, now_s):
    """Returns the next action that is not a read; reads show no change."""
    state, action = tick(state, now_s)
    if action == share_ledger.Read():
        state = share_ledger.on_read(
            state, now_s, now_s, state.known, state.revision
        )
        state, action = tick(state, now_s)
    return state, action


def usable(state, now_s):
    return (
        share_ledger.usable_from_s(state)
        <= now_s
        < share_ledger.valid_until_s(state)
    )


FAIR = {name: entry(1008) for name in FLEET}


def test_evidence_from_reads_expires():
    state = holder(0.0, FAIR)
    assert usable(state, 3.9)
    assert not usable(state, 4.0)


def test_evidence_from_peers_needs_lasting_contact_with_a_majority():
    state = holder(0.0, FAIR)
    peers = {"vm1": 1, "vm2": 1}
    for now_s in (10.0, 11.0):
        state = share_ledger.on_fleet(state, now_s, view(now_s, peers), 0.0)
        # Heartbeats buffered during a partition arrive first.
        assert not usable(state, now_s)
    state = share_ledger.on_fleet(state, 12.0, view(12.0, peers), 0.0)
    assert usable(state, 14.9)
    assert not usable(state, 15.0)
    state = share_ledger.on_fleet(state, 20.0, view(20.0, peers), 0.0)
    assert not usable(state, 20.0)


@pytest.mark.parametrize(
    ("epochs", "listed"),
    [
        ({"vm1": 1}, FLEET),
        ({"vm1": 1, "vm2": 2, "vm3": 2, "vm4": 2}, FLEET),
        ({"vm1": 0, "vm2": 0, "vm3": 1}, FLEET),
        ({}, ("vm0",)),
        ({}, ()),
        ({"vm1": 1}, FLEET[1:4]),
    ],
)
def test_peers_that_are_no_evidence(epochs, listed):
    state = holder(0.0, FAIR)
    for now_s in range(10, 20):
        state = share_ledger.on_fleet(
            state, now_s, view(now_s, epochs, listed), 0.0
        )
        assert not usable(state, now_s)


def test_pause_drops_evidence_and_reads_at_once():
    state = share_ledger.on_pause(holder(0.0, FAIR), 3.0)
    assert not usable(state, 3.0)
    state, action = tick(state, 3.0)
    assert action == share_ledger.Read()
    # The response to a read sent before the pause is no evidence.
    late = share_ledger.on_read(state, 2.9, 3.1, state.known, 1)
    assert not usable(late, 3.1)
    assert usable(share_ledger.on_read(state, 3.0, 3.1, state.known, 1), 3.1)


def test_newer_epoch_at_a_peer_causes_a_read():
    state = holder(0.0, FAIR)
    state = share_ledger.on_fleet(state, 0.5, view(0.5, {"vm1": 2}), 0.5)
    assert tick(state, 1.0)[1] == share_ledger.Read()


def test_removed_vm_has_no_units_and_joins_again():
    state = holder(0.0, FAIR)
    others = {name: entry(1008) for name in FLEET[1:]}
    state = share_ledger.on_read(state, 1.0, 1.0, value(others, 2, 2), 2)
    assert share_ledger.local_units(state) == 0
    assert not usable(state, 1.0)
    _, write = next_write(state, 1.0)
    assert write.ledger.members["vm0"].units == 0


def test_superseded_process_never_writes_again():
    state = holder(0.0, FAIR)
    taken = value({**FAIR, "vm0": entry(1008, "2")}, 2, 2)
    state = share_ledger.on_read(state, 1.0, 1.0, taken, 2)
    assert share_ledger.local_units(state) == 0
    assert next_write(state, 99.0)[1] is None
    # The same holds if its entry was removed before the successor joined.
    state = holder(0.0, FAIR)
    state = share_ledger.on_read(state, 1.0, 1.0, value({}, 2, 2), 2)
    state = share_ledger.on_read(state, 2.0, 2.0, taken, 3)
    assert next_write(state, 99.0)[1] is None


def test_deposit_lowers_local_units_and_waits_for_token_loans():
    state = holder(0.0, {"vm0": entry(5040)})
    state = share_ledger.on_fleet(
        state, 0.0, view(0.0, {"vm1": 1}, FLEET[:2]), 0.0
    )
    state, action = next_write(state, 0.0)
    assert action is None
    assert share_ledger.local_units(state) == 2520
    assert next_write(state, 1.0)[1] is None
    _, write = next_write(state, share_ledger.DEPOSIT_WAIT_S)
    assert write.ledger.free_units == 2520


def test_write_in_doubt_counts_until_a_newer_revision_is_read():
    state = holder(0.0, {"vm0": entry(5040)})
    two = view(0.0, {"vm1": 1}, FLEET[:2])
    state = share_ledger.on_fleet(state, 0.0, two, 0.0)
    state, _ = next_write(state, 0.0)
    state, write = next_write(state, 2.0)
    state = share_ledger.on_failed(state, 2.0, 0.5)
    # vm1 is gone, so the deposit is obsolete, but it may still take effect.
    state = share_ledger.on_fleet(state, 3.0, view(3.0, {}, FLEET[:1]), 0.0)
    state = share_ledger.on_read(state, 3.0, 3.0, state.known, 1)
    state, resolving = next_write(state, 3.5)
    assert share_ledger.local_units(state) == 2520
    # A write that only raises the revision makes the earlier one fail.
    assert resolving.ledger.members == state.known.members
    resolved = share_ledger.on_written(state, 3.5, 3.5, resolving, 2)
    assert share_ledger.local_units(resolved) == 5040
    applied = share_ledger.on_read(state, 3.6, 3.6, write.ledger, 2)
    assert share_ledger.local_units(applied) == 2520


def test_gained_units_count_only_after_the_write_is_confirmed():
    state = holder(0.0, {"vm0": entry(1008)})
    state = share_ledger.on_fleet(state, 0.0, view(0.0, {}), 0.0)
    state, write = next_write(state, 0.0)
    assert write.ledger.members["vm0"].units == 5040
    assert share_ledger.local_units(state) == 1008
    state = share_ledger.on_written(state, 0.0, 0.1, write, 2)
    assert share_ledger.local_units(state) == 5040


def test_member_is_removed_only_if_unlisted_and_silent():
    state = holder(0.0, FAIR)
    live = {"vm1": 1, "vm2": 1, "vm3": 1}
    for now_s, listed, heard_s, removed in (
        (9.0, FLEET[:4], -math.inf, False),
        (30.0, FLEET, 0.0, False),
        (30.0, FLEET[:4], 21.0, False),
        (30.0, FLEET[:4], 20.0, True),
    ):
        new_state = share_ledger.on_fleet(
            state, now_s, view(now_s, live, listed, {"vm4": heard_s}), 0.0
        )
        new_state = share_ledger.on_read(
            new_state, now_s, now_s, state.known, 1
        )
        _, write = next_write(new_state, now_s)
        assert (write is not None) == removed
    assert "vm4" not in write.ledger.members
    assert write.ledger.removal_epoch == write.ledger.epoch
    # The freed units are not taken in the write of the removal.
    assert write.ledger.members["vm0"].units == 1008


def test_units_of_a_removed_vm_wait_for_a_majority_and_five_seconds():
    left = {name: entry(1008) for name in FLEET[:4]}
    state = holder(0.0, left, epoch=7, removal_epoch=7)
    minority = view(0.0, {"vm1": 7, "vm2": 6, "vm3": 6}, FLEET[:4])
    state = share_ledger.on_fleet(state, 0.0, minority, 0.0)
    assert next_write(state, 90.0)[1] is None
    majority = view(1.0, {"vm1": 7, "vm2": 7, "vm3": 6}, FLEET[:4])
    state = share_ledger.on_fleet(state, 1.0, majority, 0.0)
    for now_s, units in ((5.9, None), (6.0, 1260)):
        state = share_ledger.on_read(state, now_s, now_s, state.known, 1)
        _, write = next_write(state, now_s)
        assert (write and write.ledger.members["vm0"].units) == units


def test_successor_waits_before_it_uses_the_entry():
    state = holder(0.0, {**FAIR, "vm0": entry(1008, "0")})
    state, write = next_write(state, 0.0)
    assert write.ledger.members["vm0"] == entry(1008)
    state = share_ledger.on_written(state, 0.0, 0.0, write, 2)
    # A predecessor that still runs has the same vote as the VM itself.
    two = view(0.5, {"vm1": 2, "vm2": 2})
    state = share_ledger.on_fleet(state, 0.5, two, 0.0)
    assert share_ledger.usable_from_s(state) == math.inf
    three = view(1.0, {"vm1": 2, "vm2": 2, "vm3": 2})
    state = share_ledger.on_fleet(state, 1.0, three, 0.0)
    assert share_ledger.usable_from_s(state) == 6.0


def test_leaving_vm_returns_its_entry_after_its_token_loans():
    state = share_ledger.on_leave(holder(0.0, FAIR), 1.0)
    assert share_ledger.local_units(state) == 0
    assert next_write(state, 1.5)[1] is None
    _, write = next_write(state, 1.0 + share_ledger.DEPOSIT_WAIT_S)
    assert "vm0" not in write.ledger.members
    assert write.ledger.free_units == 1008


def test_upstreams_are_divided_fairly_within_their_region():
    members = {
        "vm0": entry(1680),
        "vm1": entry(1680, upstreams=("u0", "u1", "u2")),
        "vm2": entry(1680, region="b"),
    }
    upstreams = (
        *((f"u{index}", "a") for index in range(6)),
        *((f"w{index}", "b") for index in range(3)),
        *((f"x{index}", "c") for index in range(4)),
    )
    state = share_ledger.on_upstreams(holder(0.0, members), upstreams)
    state = share_ledger.on_fleet(
        state, 0.0, view(0.0, {"vm1": 1, "vm2": 1}, FLEET[:3]), 0.0
    )
    state, write = next_write(state, 0.0)
    assert share_ledger.local_upstreams(state) == frozenset()
    owned = write.ledger.members["vm0"].upstreams
    assert owned[:3] == ("u3", "u4", "u5")
    # Region c has no VM, so all VMs share its upstreams.
    assert len(owned[3:]) == 2
    assert {name[0] for name in owned[3:]} == {"x"}


@pytest.mark.parametrize(
    ("own", "other", "kept"),
    [
        (("u0", "u1", "u2"), ("u3",), ("u0", "u1")),
        # One more than the other VM is fair; moving it would cause a wait.
        (("u0", "u1", "u2"), ("u3", "u4"), ("u0", "u1", "u2")),
        (("u0", "u1", "gone"), ("u2", "u3"), ("u0", "u1")),
    ],
)
def test_surplus_upstream_is_released_only_when_a_vm_lacks_it(own, other, kept):
    members = {
        "vm0": entry(2520, upstreams=own),
        "vm1": entry(2520, upstreams=other),
    }
    state = share_ledger.on_upstreams(
        holder(0.0, members),
        tuple((f"u{index}", "a") for index in range(4 + ("u4" in other))),
    )
    state = share_ledger.on_fleet(
        state, 0.0, view(0.0, {"vm1": 1}, FLEET[:2]), 0.0
    )
    state, write = next_write(state, 0.0)
    now = write.ledger.members["vm0"] if write else members["vm0"]
    assert now.upstreams == kept
    # A release counts before it is confirmed: it may have taken effect.
    assert share_ledger.local_upstreams(state) == set(kept)


def test_ledger_that_does_not_add_up_is_an_error():
    broken = ledger.Ledger(free_units=1, members={"vm0": entry(1)})
    assert ledger.decode(ledger.encode(broken)).is_err()
    assert ledger.decode(b"{").is_err()
    valid = value(FAIR)
    assert ledger.decode(ledger.encode(valid)).unwrap() == valid
