"""Guards against members that announcements do not reach."""

import pytest
from support import heartbeats

from bramleyworks.policy import fleet_view
from bramleyworks.policy import member
from bramleyworks.policy import relay_tree


@pytest.mark.parametrize("count", [1, 2, 16, 17, 40, 300, 7500])
def test_links_are_symmetric_and_reach_all_members(count):
    names = [f"vm{i:05d}" for i in range(count)]
    sample = names if count <= 300 else names[::97]
    linked = {name: relay_tree.neighbours(names, name) for name in sample}
    if count <= 300:
        for name, others in linked.items():
            for other in others:
                assert name in linked[other]
        reached = {names[0]}
        frontier = [names[0]]
        hops = 0
        while frontier:
            hops += 1
            frontier = {
                other for name in frontier for other in linked[name]
            } - reached
            reached |= frontier
        assert reached == set(names)
        assert hops <= 5
    # Two parents and the children of two positions limit a member's messages.
    assert max(len(others) for others in linked.values()) <= 50


@pytest.mark.parametrize("count", [17, 60, 300])
def test_one_failed_member_disconnects_no_other(count):
    names = [f"vm{i:05d}" for i in range(count)]
    linked = {name: relay_tree.neighbours(names, name) for name in names}
    for failed in names[:20]:
        start = next(name for name in names if name != failed)
        reached = {start}
        frontier = {start}
        while frontier:
            frontier = (
                {other for name in frontier for other in linked[name]}
                - reached
                - {failed}
            )
            reached |= frontier
        assert len(reached) == count - 1


def test_each_region_has_two_watchers():
    names = [f"vm{i}" for i in range(5)]
    assert len(relay_tree.watchers(names, "sudo")) == 2
    assert relay_tree.watchers(names[:1], "sudo") == {"vm0"}


def test_large_fleet_has_two_watchers_per_region():
    # If a VM ranked itself among only the members it receives heartbeats from,
    # nearly every VM of a large fleet would watch the store.
    regions = {f"vm{i:04d}": ("sudo", "honam")[i % 2] for i in range(400)}
    watching = []
    for name, region in regions.items():
        view = fleet_view.FleetView(name, {}, regions=regions)
        if name in relay_tree.watchers(
            [*view.watcher_candidates(region), name], region
        ):
            watching.append(name)
    assert len(watching) == 4


def test_small_fleet_replaces_a_watcher_without_heartbeats():
    regions = {f"vm{i}": "sudo" for i in range(4)}
    live = {
        name: member.Member(heartbeats.make_heartbeat(name), 0.0)
        for name in ("vm1", "vm2")
    }
    view = fleet_view.FleetView("vm0", live, regions=regions)
    assert sorted(view.watcher_candidates("sudo")) == ["vm1", "vm2"]
