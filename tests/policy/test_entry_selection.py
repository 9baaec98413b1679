"""Guards against lookups that balance clients badly or return wrong VMs."""

import collections

from support import heartbeats

from bramleyworks.policy import entry_selection
from bramleyworks.policy import entry_vm
from bramleyworks.policy import member_table
from bramleyworks.policy import site

SUDO = site.Site("sudo", "d1")
VMS = [
    entry_vm.EntryVm(f"vm{i}", f"127.0.0.1:{i}", where)
    for i, where in enumerate(
        [SUDO, SUDO, SUDO, site.Site("sudo", "d2"), site.Site("honam", "d1")]
    )
]


def test_nearest_site_comes_first():
    selected = entry_selection.choose(VMS[2:], "10.0.0.1", SUDO)
    assert [vm.vm_id for vm in selected] == ["vm2", "vm3", "vm4"]


def test_only_the_clients_of_a_leaving_vm_change_vm():
    clients = [f"10.0.{i}.1" for i in range(200)]
    before = {c: entry_selection.choose(VMS, c, SUDO)[0].vm_id for c in clients}
    after = {
        c: entry_selection.choose(VMS[1:], c, SUDO)[0].vm_id for c in clients
    }
    changed = [c for c in clients if before[c] != after[c]]
    assert all(before[c] == "vm0" for c in changed)


def test_client_blocks_spread_over_the_vms_of_a_site():
    counts = collections.Counter(
        entry_selection.choose(VMS, f"10.{i // 250}.{i % 250}.1", SUDO)[0].vm_id
        for i in range(3000)
    )
    assert set(counts) == {"vm0", "vm1", "vm2"}
    assert min(counts.values()) > 800


def test_partitioned_vm_returns_listed_vms_without_recent_heartbeats():
    """Callers must not be sent back to VMs that refuse them."""
    table = member_table.MemberTable("vm0")
    table.handle_heartbeat(
        heartbeats.make_heartbeat("vm1", serving=False), 10.0
    )
    view = table.view(10.0, None, frozenset())
    selected = entry_selection.candidates(view, None, VMS)
    assert [vm.vm_id for vm in selected] == ["vm2", "vm3", "vm4"]


def test_only_serving_vms_are_returned_while_there_are_any():
    table = member_table.MemberTable("vm0")
    table.handle_heartbeat(
        heartbeats.make_heartbeat("vm1", serving=False), 10.0
    )
    table.handle_heartbeat(heartbeats.make_heartbeat("vm2"), 10.0)
    view = table.view(10.0, None, frozenset())
    selected = entry_selection.candidates(view, None, VMS)
    assert [vm.vm_id for vm in selected] == ["vm2"]


def test_drained_vm_is_returned_only_if_no_other_is_available():
    table = member_table.MemberTable("vm0")
    table.handle_heartbeat(heartbeats.make_heartbeat("vm1"), 10.0)
    table.handle_heartbeat(heartbeats.make_heartbeat("vm2"), 10.0)
    view = table.view(10.0, None, frozenset())
    selected = entry_selection.candidates(view, None, (), frozenset({"vm1"}))
    assert [vm.vm_id for vm in selected] == ["vm2"]
    both = frozenset({"vm1", "vm2"})
    assert len(entry_selection.candidates(view, None, (), both)) == 2
