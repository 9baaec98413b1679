"""Heartbeats in small and large fleets, over a fake network."""

import itertools

import msgspec

from bramleyworks.gateway import beat
from bramleyworks.gateway import peers
from bramleyworks.gateway import vm


class Net:
    """Delivers datagrams at once; counts them by sender."""

    def __init__(self, sizes):
        self.now_s = 0.0
        self.links = {}
        self.sent = {}
        self.vms = {}
        for region, size in sizes.items():
            for number in range(size):
                name = f"{region}-{number}"
                self.vms[name] = vm.Vm(
                    name, 1, region, f"{region}-a", f"{name}:1", "", f"{name}:2"
                )
        for name, own in self.vms.items():
            link = peers.Peers(
                own,
                lambda number, own=own: self.beat(own, number),
                lambda: self.vms,
                [],
                lambda: self.now_s,
            )
            link.connection_made(_Socket(self, name))
            self.links[name] = link
            self.sent[name] = 0
        self.down = set()

    def beat(self, own, number):
        return beat.Beat(
            own,
            number,
            True,
            7,
            0.1,
            {"desk": 2.0},
            {"org": (number, 3.0)},
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
        if addr[0] not in self._net.down:
            self._net.links[addr[0]].datagram_received(data, (self._name, 2))


def test_small_fleet_hears_everyone():
    net = Net({"a": 3, "b": 3, "c": 3})
    net.turn(2)
    one = net.links["a-0"]
    assert one.is_flat
    assert len(one.near()) == 8
    assert one.count() == 9


def test_large_fleet_hears_its_region_and_sums_of_the_others():
    net = Net({"a": 20, "b": 20, "c": 20})
    net.turn(3)
    one = net.links["a-0"]
    assert not one.is_flat
    assert one.count() == 60
    assert len(one.near()) == 19
    far = [b for b in one.sources() if b.speaks_for]
    assert sorted(b.vm.region for b in far) == ["b", "c"]
    assert all(b.demand == {"desk": 40.0} for b in far)
    assert all(b.use["org"][1] == 60.0 for b in far)
    assert len(one.entries()) == 59
    before = dict(net.sent)
    net.turn()
    cost = sorted(net.sent[n] - before[n] for n in net.sent)
    assert cost[0] == 19
    assert len([c for c in cost if c > 19]) == 3 * peers.SPEAKERS


def test_lost_speaker_is_replaced_and_counts_only_grow():
    net = Net({"a": 20, "b": 20})
    net.turn(4)
    one = net.links["a-0"]
    (summary,) = [b for b in one.sources() if b.speaks_for]
    net.down.add(summary.vm.id)
    last = {}
    for _ in range(20):
        net.turn()
        for found in one.sources():
            if found.speaks_for:
                key = found.vm.id
                assert found.use["org"][0] >= last.get(key, 0)
                last[key] = found.use["org"][0]
    (later,) = [b for b in one.sources() if b.speaks_for]
    assert later.vm.id != summary.vm.id
    assert later.speaks_for == 19
    assert summary.vm.id not in one.entries()


def test_older_and_foreign_datagrams_change_nothing():
    net = Net({"a": 2})
    net.turn(3)
    one = net.links["a-0"]
    (known,) = one.near()
    for number, data in itertools.product(
        [0, 1], [b"", b"\xff", msgspec.msgpack.encode([1, 2])]
    ):
        one.datagram_received(data, ("x", number))
    old = net.beat(net.vms["a-1"], 1)
    one.datagram_received(msgspec.msgpack.encode(old), ("a-1", 2))
    assert one.near() == [known]
