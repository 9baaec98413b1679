"""Entry VMs that look-ups name."""

import pytest

from bramleyworks.gateway import directory
from bramleyworks.gateway import vm
from bramleyworks.policy import isolation

READY = {
    "one-0": ("one", "10.0.0.1:1"),
    "one-1": ("one", "10.0.0.2:1"),
    "two-0": ("two", "10.0.0.3:1"),
}


@pytest.mark.parametrize(
    ("cut_off", "named"),
    [
        ((), ["10.0.0.1:1", "10.0.0.2:1"]),
        (("one-1",), ["10.0.0.1:1"]),
        (("one-0", "one-1"), ["10.0.0.3:1"]),
        (("one-0", "one-1", "two-0"), ["10.0.0.1:1", "10.0.0.2:1"]),
    ],
)
def test_callers_are_sent_to_vms_that_reach_upstreams(cut_off, named):
    own = vm.Vm("one-0", 1, "one", "one-a", *["10.0.0.1:1"] * 3)
    reach = {
        name: isolation.Reach.NONE
        if name in cut_off
        else isolation.Reach.CONTACT
        for name in READY
    }
    peers = {name: entry for name, entry in READY.items() if name != own.id}
    looked_up = directory.Directory(
        own, lambda: True, lambda: peers, lambda: reach, dict
    )
    assert looked_up.look_up("one") == named
