"""Heartbeats in small and large fleets, over a fake network."""

import dataclasses
import itertools

import msgspec

from bramleyworks.gateway import heartbeat
from bramleyworks.gateway import peers
from bramleyworks.gateway import registry
from bramleyworks.gateway import vm


class Net:
    """Delivers datagrams at once; counts them by sender."""

    def __init__(self, sizes, links=None):
        self.now_s = 0.0
        self.links = {}
        self.sent = {}
        self.bytes = 0
        self.far_bytes = 0
        self.use = lambda name, number: {"org": (number, 3)}
        self.vms = {}
        for region, size in sizes.items():
            for number in range(size):
                name = f"{region}-{number}"
                self.vms[name] = vm.Vm(
                    name,
                    1,
                    region,
                    f"{region}-{'ab'[number % 2]}",
                    f"{name}:1",
                    "",
                    f"{name}:2",
                    (links or {}).get(name, 10.0),
                )
        self.down = set()
        for name in self.vms:
            self.start(name)

    def start(self, name, incarnation=1):
        own = dataclasses.replace(self.vms[name], incarnation=incarnation)
        self.vms[name] = own
        link = peers.Peers(
            own,
            lambda number: self.beat(own, number),
            lambda: self.vms,
            registry.Registry(own.region, {}, lambda: self.now_s),
            [],
            lambda: self.now_s,
        )
        link.connection_made(_Socket(self, name))
        self.links[name] = link
        self.sent[name] = 0

    def beat(self, own, number):
        return heartbeat.Heartbeat(
            own,
            number,
            True,
            7,
            0.1,
            {"desk": 2.0},
            self.use(own.id, number),
            {},
            {},
        )

    def turn(self, count=1):
        for _ in range(count):
            self.now_s += 0.5
            for name, link in self.links.items():
                if name not in self.down:
                    link.send()


class _Socket:
    def __init__(self, net, name):
        self._net = net
        self._name = name

    def sendto(self, data, addr):
        self._net.sent[self._name] += 1
        self._net.bytes += len(data)
        if addr[0].partition("-")[0] != self._name.partition("-")[0]:
            self._net.far_bytes += len(data)
        if addr[0] not in self._net.down:
            self._net.links[addr[0]].datagram_received(data, (self._name, 2))


def test_small_fleet_hears_everyone():
    net = Net({"a": 3, "b": 3, "c": 3})
    net.turn(2)
    one = net.links["a-0"]
    assert one.is_full_mesh
    assert len(one.direct_heartbeats()) == 8
    assert one.live_vm_count() == 9


def test_large_fleet_hears_its_region_and_sums_of_the_others():
    net = Net({"a": 20, "b": 20, "c": 20})
    net.turn(3)
    one = net.links["a-0"]
    assert not one.is_full_mesh
    assert one.live_vm_count() == 60
    assert len(one.direct_heartbeats()) == 19
    far = [b for b in one.live_heartbeats() if b.covered_vms]
    assert sorted(b.vm.region for b in far) == ["b", "c"]
    assert all(b.demand == {"desk": 40.0} for b in far)
    assert all(b.usage["org"][1] == 60 for b in far)
    assert len(one.entry_addresses()) == 59
    before = dict(net.sent)
    net.turn()
    cost = sorted(net.sent[n] - before[n] for n in net.sent)
    assert cost[0] == 19
    assert len([c for c in cost if c > 19]) == 3 * peers.RELAYS_PER_REGION


def test_summaries_cross_regions_once_for_each_speaker():
    net = Net({"a": 30, "b": 30, "c": 30})
    net.use = lambda name, number: {
        f"organisation-{n}": (number, 3) for n in range(84)
    }
    net.turn(8)
    before = net.far_bytes
    net.turn(20)
    # Ten seconds; 3 regions tell 2 speakers in each of 2 others 2 times a
    # second. One summary tells of 84 organisations and 30 VMs.
    messages = 3 * peers.RELAYS_PER_REGION * 2 * peers.RELAYS_PER_REGION * 20
    assert net.far_bytes - before < messages * 4500
    for link in net.links.values():
        assert link.live_vm_count() == 90
        assert len(link.entry_addresses()) == 89


def test_unchanged_organisations_cost_nothing_between_whole_heartbeats():
    def cost(changing):
        net = Net({"a": 20})
        net.use = lambda name, number: {
            f"organisation-{n}": (number if n < changing else 1, 3)
            for n in range(84)
        }
        net.turn(peers.FULL_HEARTBEAT_EVERY * 2)
        before = net.bytes
        net.turn(peers.FULL_HEARTBEAT_EVERY * 4)
        return net.bytes - before

    assert cost(4) < 0.4 * cost(84)


def test_changes_are_merged_and_a_lost_whole_heartbeat_is_made_good():
    net = Net({"a": 2})
    use = {"org-1": (1, 3), "org-2": (1, 3)}
    net.use = lambda name, number: dict(use)
    net.turn()
    use["org-1"] = (2, 3)
    net.turn()
    (known,) = net.links["a-0"].direct_heartbeats()
    assert known.usage == {"org-1": (2, 3), "org-2": (1, 3)}
    del use["org-2"]
    net.turn()
    (known,) = net.links["a-0"].direct_heartbeats()
    assert known.usage == {"org-1": (2, 3), "org-2": (0, 0)}
    # The whole heartbeat after this change is lost.
    use["org-3"] = (7, 3)
    net.down.add("a-0")
    for _ in range(peers.FULL_HEARTBEAT_EVERY):
        net.turn()
    net.down.clear()
    for _ in range(peers.FULL_HEARTBEAT_EVERY):
        net.turn()
    (known,) = net.links["a-0"].direct_heartbeats()
    assert known.usage == use


def test_changes_of_a_restarted_vm_wait_for_its_whole_heartbeat():
    net = Net({"a": 2})
    net.turn(2)
    link = net.links["a-0"]
    (known,) = link.direct_heartbeats()
    part = msgspec.structs.replace(
        net.beat(dataclasses.replace(net.vms["a-1"], incarnation=2), 1),
        is_full=False,
    )
    link.datagram_received(msgspec.msgpack.encode(part), ("a-1", 2))
    assert link.direct_heartbeats() == [known]


def test_restarted_vm_hears_all_peers_with_their_next_heartbeat():
    net = Net({"a": 20})
    net.turn(peers.FULL_HEARTBEAT_EVERY + 2)
    net.start("a-7", incarnation=2)
    net.turn(2)
    assert len(net.links["a-7"].direct_heartbeats()) == 19


def test_speakers_have_the_widest_links_and_lie_apart():
    wide = {"a-3": 200.0, "a-5": 200.0, "a-8": 100.0}
    net = Net({"a": 20, "b": 20}, wide)
    net.turn(3)
    for name in ("a-0", "a-3", "a-19"):
        first, second = net.links[name].relays()
        assert first in ("a-3", "a-5")
        assert second == "a-8"


def test_lost_speaker_is_replaced_and_counts_only_grow():
    net = Net({"a": 20, "b": 20})
    net.turn(4)
    one = net.links["a-0"]
    (summary,) = [b for b in one.live_heartbeats() if b.covered_vms]
    net.down.add(summary.vm.id)
    last = {}
    for _ in range(20):
        net.turn()
        for found in one.live_heartbeats():
            if found.covered_vms:
                key = found.vm.id
                assert found.usage["org"][0] >= last.get(key, 0)
                last[key] = found.usage["org"][0]
    (later,) = [b for b in one.live_heartbeats() if b.covered_vms]
    assert later.vm.id != summary.vm.id
    assert later.covered_vms == 19
    assert summary.vm.id not in one.entry_addresses()


def test_older_and_foreign_datagrams_change_nothing():
    net = Net({"a": 2})
    net.turn(3)
    one = net.links["a-0"]
    (known,) = one.direct_heartbeats()
    for number, data in itertools.product(
        [0, 1], [b"", b"\xff", msgspec.msgpack.encode([1, 2])]
    ):
        one.datagram_received(data, ("x", number))
    old = net.beat(net.vms["a-1"], 1)
    one.datagram_received(msgspec.msgpack.encode(old), ("a-1", 2))
    assert one.direct_heartbeats() == [known]
