"""Replicas of a store that is restored from older copies."""

import json
import random

import pytest

from bramleyworks.gateway import replica_update
from bramleyworks.gateway import store_replica
from bramleyworks.platform import kv_item
from bramleyworks.platform import kv_position
from bramleyworks.platform import wire_config
from bramleyworks.platform import wire_updates

CONFIG = "op/config"
UPSTREAM = "servers/u1"
EVACUATION = "op/evacuate/one-a"
STATE = "status/rollout/desk"
GRACE_PREFIXES = ("servers/", "op/evacuate/")


def encode(**fields):
    return json.dumps(fields).encode()


def config(version):
    return encode(version=f"r{version}")


def report(number, state="ready", born=1):
    return encode(seq=number, state=state, born=born)


def item(key, value, revision, era=1):
    return kv_item.KvItem(key, value, revision, era)


def at(revision, era=1):
    return kv_position.Position(era, revision)


class Vm:
    """A replica, and the changes that it passed on."""

    def __init__(self, items=(), revision=50):
        self.changes = []
        self.replica = store_replica.StoreReplica(
            self.changes.append, wire_updates.compare
        )
        self.replica.replace(at(revision), list(items))
        self.changes.clear()

    def value(self, key):
        found = self.replica.get(key)
        return found.value if found else None

    def restore(self, items, revision=40, era=2):
        self.replica.replace(at(revision, era), items)

    def watch(self, *changes):
        last = changes[-1]
        self.replica.apply(at(last.revision, last.era), changes)

    def copy_from(self, other):
        encoder = replica_update.ReplicaUpdateEncoder(other.replica)
        raw = encoder.encode(self.replica.position)
        return replica_update.apply_update(raw, "peer", self.replica).unwrap()


def test_change_with_a_reused_revision_is_applied():
    vm = Vm([item(CONFIG, config(7), 49)])
    vm.restore([item(CONFIG, config(7), 38, 2)])
    vm.watch(item(CONFIG, config(8), 45, 2))
    assert vm.value(CONFIG) == config(8)
    assert vm.replica.position == at(45, 2)


def test_lost_configuration_stays_in_force():
    """Guards against a withdrawn key that works again."""
    vm = Vm([item(CONFIG, config(7), 49)])
    vm.restore([item(CONFIG, config(5), 30, 2)])
    assert vm.value(CONFIG) == config(7)
    assert vm.replica.is_lost(CONFIG)
    vm.watch(item(CONFIG, config(7), 41, 2))
    assert vm.value(CONFIG) == config(7)
    assert not vm.replica.is_lost(CONFIG)
    assert [c.value for c in vm.changes] == [config(7)]


def test_upstream_that_left_is_not_used_again():
    vm = Vm([item(UPSTREAM, report(4), 20)])
    vm.watch(item(UPSTREAM, None, 51))
    vm.restore([item(UPSTREAM, report(4), 20, 2)])
    assert vm.value(UPSTREAM) is None
    vm.watch(item(UPSTREAM, None, 42, 2))
    vm.replica.accept_revived(GRACE_PREFIXES)
    assert vm.value(UPSTREAM) is None


def test_upstream_that_lives_on_is_used_again():
    """Guards against a live upstream that gets no more requests."""
    vm = Vm([item(UPSTREAM, report(4), 20)])
    vm.watch(item(UPSTREAM, None, 51))
    vm.restore([item(UPSTREAM, report(4), 20, 2)])
    vm.replica.accept_revived(GRACE_PREFIXES)
    assert vm.value(UPSTREAM) == report(4)


@pytest.mark.parametrize("known", [report(9), None])
def test_upstream_that_registers_again_is_used_at_once(known):
    vm = Vm([item(UPSTREAM, report(9), 20)])
    if known is None:
        vm.watch(item(UPSTREAM, None, 51))
    restarted = report(1, born=2)
    vm.restore([item(UPSTREAM, restarted, 39, 2)])
    assert vm.value(UPSTREAM) == restarted


def test_draining_upstream_gets_no_requests_again():
    vm = Vm([item(UPSTREAM, report(9, "draining"), 48)])
    vm.restore([item(UPSTREAM, report(3), 12, 2)])
    assert vm.value(UPSTREAM) == report(9, "draining")
    vm.watch(item(UPSTREAM, report(10, "draining"), 41, 2))
    assert vm.value(UPSTREAM) == report(10, "draining")


def test_lost_registration_is_kept_until_the_grace_ends():
    vm = Vm([item(UPSTREAM, report(1), 48)])
    vm.restore([])
    assert vm.value(UPSTREAM) == report(1)
    vm.replica.drop_missing(GRACE_PREFIXES)
    assert vm.value(UPSTREAM) is None
    vm.watch(item(UPSTREAM, report(2), 41, 2))
    assert vm.value(UPSTREAM) == report(2)


def test_lost_evacuation_stays_in_force_and_can_be_taken_back():
    vm = Vm([])
    vm.watch(item(EVACUATION, b"{}", 51))
    vm.restore([])
    assert vm.value(EVACUATION) == b"{}"
    vm.watch(item(EVACUATION, b"{}", 41, 2))
    vm.replica.drop_missing(GRACE_PREFIXES)
    assert vm.value(EVACUATION) == b"{}"
    vm.watch(item(EVACUATION, None, 60, 2))
    assert vm.value(EVACUATION) is None


def test_ended_evacuation_does_not_start_again():
    vm = Vm([])
    vm.watch(item(EVACUATION, b"{}", 51), item(EVACUATION, None, 55))
    vm.restore([item(EVACUATION, b"{}", 51, 2)], revision=52)
    assert vm.value(EVACUATION) is None


def test_evacuation_ordered_after_the_restore_starts_at_once():
    vm = Vm([])
    vm.watch(item(EVACUATION, b"{}", 51), item(EVACUATION, None, 55))
    vm.restore([item(EVACUATION, b"{}", 53, 2)], revision=54)
    assert vm.value(EVACUATION) == b"{}"


def test_lost_state_is_known_with_the_revision_to_replace():
    """Guards against a finished move that the store never shows again."""
    vm = Vm([item(STATE, b"running", 20)])
    vm.watch(item(STATE, b"done", 52))
    vm.restore([item(STATE, b"running", 20, 2)])
    assert vm.value(STATE) == b"done"
    assert vm.replica.is_lost(STATE)
    assert vm.replica.stored_revision(STATE) == 20
    vm.restore([], era=3, revision=15)
    assert vm.replica.is_lost(STATE)
    assert vm.replica.stored_revision(STATE) == 0
    vm.watch(item(STATE, b"done", 41, 3))
    assert not vm.replica.is_lost(STATE)


def test_unchanged_items_are_not_passed_on_again():
    """Guards against upstreams that are taken for cold again."""
    vm = Vm([item(UPSTREAM, report(1), 20), item(CONFIG, config(3), 21)])
    vm.restore(
        [item(UPSTREAM, report(1), 20, 2), item(CONFIG, config(3), 39, 2)]
    )
    assert vm.changes == []


def test_snapshot_of_an_earlier_era_is_ignored():
    vm = Vm([item(CONFIG, config(7), 49)])
    vm.restore([item(CONFIG, config(7), 41, 2)])
    vm.replica.replace(at(90, 1), [item(CONFIG, config(9), 90)])
    assert vm.replica.position == at(40, 2)
    assert vm.value(CONFIG) == config(7)


def test_second_restore_keeps_what_the_first_one_lost():
    vm = Vm([item(CONFIG, config(7), 49)])
    vm.restore([item(CONFIG, config(5), 30, 2)])
    vm.restore([item(CONFIG, config(3), 10, 3)], revision=20, era=3)
    assert vm.value(CONFIG) == config(7)
    vm.watch(item(CONFIG, config(8), 22, 3))
    assert vm.value(CONFIG) == config(8)


def test_vm_that_starts_during_a_restore_learns_what_was_lost_from_a_peer():
    vm = Vm([item(CONFIG, config(7), 49), item(UPSTREAM, report(1), 48)])
    vm.restore([item(CONFIG, config(5), 30, 2)])
    started = Vm()
    started.replica.position = at(0, 0)
    started.copy_from(vm)
    assert started.value(CONFIG) == config(7)
    started.replica.drop_missing(GRACE_PREFIXES)
    assert started.value(UPSTREAM) is None


def test_changes_written_again_in_turn_do_not_take_effect_twice():
    """Guards against an upstream that left and is replayed as ready."""
    vm = Vm([item(CONFIG, config(7), 49), item(UPSTREAM, report(4), 20)])
    vm.watch(item(UPSTREAM, report(5, "draining"), 51))
    vm.watch(item(UPSTREAM, None, 52))
    vm.restore([item(CONFIG, config(5), 30, 2)])
    vm.watch(item(CONFIG, config(6), 41, 2), item(UPSTREAM, report(4), 42, 2))
    assert vm.value(CONFIG) == config(7)
    assert vm.value(UPSTREAM) is None
    vm.watch(item(UPSTREAM, report(6, born=2), 43, 2))
    assert vm.value(UPSTREAM) == report(6, born=2)


def test_vm_that_missed_a_lost_change_learns_it_from_a_peer():
    """Guards against a withdrawn key in use at a VM that has just started."""
    peer = Vm([item(CONFIG, config(7), 49)])
    started = Vm([item(CONFIG, config(5), 30)])
    for vm in (peer, started):
        vm.restore([item(CONFIG, config(5), 30, 2)])
    assert started.value(CONFIG) == config(5)
    raw = replica_update.ReplicaUpdateEncoder(peer.replica).encode(at(0, 0))
    for expected in (1, None):
        applied = replica_update.apply_update(raw, "peer", started.replica)
        assert applied.unwrap() == expected
    assert started.value(CONFIG) == config(7)


def test_cut_off_vm_takes_newer_changes_of_a_peer_and_keeps_its_own():
    cut_off = Vm([item(CONFIG, config(7), 49), item(STATE, b"done", 50)])
    peer = Vm([item(CONFIG, config(7), 49), item(STATE, b"running", 20)])
    peer.watch(item(CONFIG, config(8), 60))
    peer.restore(
        [item(CONFIG, config(5), 30, 2), item(STATE, b"running", 20, 2)]
    )
    cut_off.copy_from(peer)
    assert cut_off.value(CONFIG) == config(8)
    assert cut_off.value(STATE) == b"done"
    assert cut_off.replica.position.era == 2
    # It has nothing newer for the peer, and takes nothing twice.
    assert cut_off.copy_from(peer) is None


class RestoredStore:
    """A store with writers that write again what a restore has lost."""

    def __init__(self, rng):
        self.rng = rng
        self.era = 1
        self.revision = 1
        self.rows = {}
        self.history = []
        self.copies = [(1, {})]
        self.written = {}

    def put(self, key, value):
        self.revision += 1
        if value is None:
            if self.rows.pop(key, None) is None:
                self.revision -= 1
                return
        else:
            self.rows[key] = item(key, value, self.revision, self.era)
        self.history.append(item(key, value, self.revision, self.era))
        self.copies.append((self.revision, dict(self.rows)))

    def write(self, key, value):
        self.written[key] = value
        self.put(key, value)

    def restore(self):
        self.era += 1
        index = self.rng.randrange(
            max(0, len(self.copies) - 6), len(self.copies)
        )
        self.revision, rows = self.copies[index]
        self.rows = {
            key: item(key, found.value, found.revision, self.era)
            for key, found in rows.items()
        }
        del self.copies[index + 1 :]
        self.history = []

    def write_again(self):
        for key, value in self.written.items():
            found = self.rows.get(key)
            if (found.value if found else None) != value:
                self.put(key, value)

    def sync(self, vm):
        position = vm.replica.position
        if position.era == self.era and self.rng.random() < 0.8:
            changes = [
                c for c in self.history if c.revision > position.revision
            ]
            vm.replica.apply(at(self.revision, self.era), changes)
        else:
            vm.replica.replace(
                at(self.revision, self.era), list(self.rows.values())
            )


@pytest.mark.parametrize("seed", range(60))
def test_random_restores_bring_back_no_older_configuration(seed):
    """VMs that see changes at different moments agree in the end."""
    rng = random.Random(seed)
    store = RestoredStore(rng)
    version = 1
    reports = {f"servers/u{n}": 1 for n in range(4)}
    store.write(CONFIG, config(version))
    vms = [Vm([], revision=0) for _ in range(4)]
    in_force = [0] * len(vms)
    for _ in range(120):
        action = rng.random()
        if action < 0.15:
            version += 1
            store.write(CONFIG, config(version))
        elif action < 0.35:
            key = rng.choice(list(reports))
            reports[key] += 1
            value = report(reports[key], rng.choice(("ready", "draining")))
            store.write(key, rng.choice((value, value, None)))
        elif action < 0.45:
            store.write(EVACUATION, rng.choice((b"{}", None)))
        elif action < 0.5:
            store.restore()
        elif action < 0.6:
            store.write_again()
        elif action < 0.9:
            store.sync(rng.choice(vms))
        else:
            one, other = rng.sample(vms, 2)
            one.copy_from(other)
        for number, vm in enumerate(vms):
            found = wire_config.read_version(vm.value(CONFIG) or b"{}")
            assert (found or 0) >= in_force[number]
            in_force[number] = found or 0
    store.write_again()
    for vm in vms:
        store.sync(vm)
        vm.replica.drop_missing(GRACE_PREFIXES)
        vm.replica.accept_revived(GRACE_PREFIXES)
        vm.replica.apply(at(store.revision, store.era), [])
        for key, value in store.written.items():
            assert vm.value(key) == value, key
