"""Guards against configurations that revert, get lost or look fresh."""

import random

from support import fake_link
from support import fake_store
from support import virtual_clock

from bramleyworks.daemon import config_task
from bramleyworks.daemon import identity
from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import region
from bramleyworks.document import stored_config
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member_table


class Cluster:
    """Two daemons, of which only ``a`` reads the store."""

    def __init__(self):
        self.clock = virtual_clock.VirtualClock()
        self.store = fake_store.FakeStore(self.clock)
        self.network = fake_link.FakeNetwork()
        self.tasks = {name: self.make_task(name) for name in ("a", "b")}
        for name, task in self.tasks.items():
            task._neighbours = frozenset(self.tasks) - {name}

    def make_task(self, name):
        me = identity.Identity(name, "i", "sudo", "d1", "h", "p")
        return config_task.ConfigTask(
            me,
            self.network.create_link(name),
            self.store,
            member_table.MemberTable(name),
            self.clock,
            random.Random(1),
        )

    async def write(self, version, names):
        doc = document.Document(
            regions=tuple(region.Region(n, ("d1",)) for n in names)
        )
        stored = stored_config.StoredConfig(
            version, f"id{version}", "me", 0, doc
        )
        await self.put(codec.encode_stored(stored))
        return stored

    async def put(self, value):
        entry = await self.store.get(stored_config.CONFIG_KEY)
        await self.store.put(
            stored_config.CONFIG_KEY, value, entry.revision if entry else 0
        )

    async def read(self):
        await self.tasks["a"]._watch_once()
        self.network.deliver_all()


async def test_full_configuration_and_deltas_reach_a_peer_without_store():
    cluster = Cluster()
    for version, names in enumerate((["x"], ["x", "y"], ["y"]), start=1):
        stored = await cluster.write(version, names)
        await cluster.read()
        assert cluster.tasks["b"].current == stored


async def test_an_older_version_is_never_applied():
    cluster = Cluster()
    first = await cluster.write(1, ["x"])
    await cluster.read()
    second = await cluster.write(2, ["y"])
    await cluster.read()
    for task in cluster.tasks.values():
        assert not task.apply_if_newer(first, codec.encode_stored(first))
        assert task.current == second


async def test_full_configuration_is_requested_when_a_delta_does_not_apply():
    cluster = Cluster()
    await cluster.write(1, ["x"])
    await cluster.read()
    other = stored_config.StoredConfig(1, "other", "me", 0, document.Document())
    cluster.tasks["b"].current = other
    stored = await cluster.write(2, ["x", "y"])
    await cluster.read()
    assert cluster.tasks["b"].current == stored


async def test_a_malformed_value_does_not_confirm_the_current_version():
    """It may be a newer configuration that withdraws a key."""
    cluster = Cluster()
    task = cluster.tasks["a"]
    task.on_fleet(fleet_view.FleetView("a", {}, frozenset({"a", "b", "c"})))
    await cluster.write(1, ["x"])
    await cluster.read()
    assert task.is_fresh_now()
    await cluster.put(b"not a configuration")
    cluster.clock.advance(4.0)
    await cluster.read()
    await cluster.read()
    assert not task.is_fresh_now()
    assert task.version == 1
