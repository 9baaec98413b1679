"""Model of a fleet that runs config and member tasks on virtual time."""

import asyncio
import dataclasses
import random

from bramleyworks.adapters import listed_vm
from bramleyworks.daemon import config_task
from bramleyworks.daemon import heartbeat_builder
from bramleyworks.daemon import identity
from bramleyworks.daemon import member_task
from bramleyworks.document import codec
from bramleyworks.document import stored_config
from bramleyworks.policy import member_table
from bramleyworks_lab import model_network
from bramleyworks_lab import model_store
from bramleyworks_lab import virtual_loop
from bramleyworks_lab.capacity import synthetic

DOMAIN_DELAY_S = 0.001
REGION_DELAY_S = 0.035
JOIN_S = 8.0
TIMEOUT_S = 30.0
COUNT_PERIOD_S = 5.0
AGE_SAMPLES = 4
AGE_SAMPLE_PERIOD_S = 0.9
POLL_PERIOD_S = 0.02
UPSTREAMS = 20


class _IdleState:
    """Stand-in for the idle tasks whose state heartbeats also carry."""

    def epoch(self) -> int:
        """Returns a constant ledger epoch."""
        return 1

    def free_slots(self) -> dict[str, int]:
        """Returns no free slots."""
        return {}

    def heartbeat_counts(self) -> dict[str, list[int]]:
        """Returns no counts."""
        return {}

    def aborted_moves(self) -> tuple[str, ...]:
        """Returns no aborted moves."""
        return ()


class _VmList:
    """Stand-in for the platform's VM list, with fixed entries."""

    def __init__(self, listed: tuple[listed_vm.ListedVm, ...]):
        self._listed = listed

    async def read(self) -> tuple[listed_vm.ListedVm, ...]:
        """Returns the listed VMs."""
        return self._listed


class _Vm:
    """The config task and the member task of one daemon."""

    def __init__(
        self,
        me: identity.Identity,
        network: model_network.ModelNetwork,
        store: model_store.ModelStore,
        listing: _VmList,
        seed: int,
    ):
        clock = asyncio.get_running_loop().time
        rng = random.Random(seed)
        idle = _IdleState()
        link = model_network.ModelLink(network, me.vm_id, me.region)
        table = member_table.MemberTable(me.vm_id)
        kv = model_store.StoreClient(store, me.region, REGION_DELAY_S, clock)
        self.config = config_task.ConfigTask(me, link, kv, table, clock, rng)
        self.members = member_task.MemberTask(
            me,
            link,
            listing,
            table,
            heartbeat_builder.HeartbeatBuilder(
                me, self.config, idle, idle, idle
            ),
            (),
            clock,
            rng,
        )
        self.members.subscribe(self.config.on_fleet)
        self.members.subscribe_heartbeats(
            lambda heartbeat: self.config.on_heartbeat(
                heartbeat.vm_id, heartbeat.config_version
            )
        )


def store_reads_per_s(count: int) -> float:
    """Returns the store calls per second of a fleet in the steady state."""
    return virtual_loop.run(_reads_per_s(count))


async def _reads_per_s(count: int) -> float:
    fleet = _start(count, 1)
    try:
        await asyncio.sleep(JOIN_S)
        before = fleet.store.calls
        await asyncio.sleep(COUNT_PERIOD_S)
        return (fleet.store.calls - before) / COUNT_PERIOD_S
    finally:
        await fleet.stop()


def oldest_evidence_s(count: int) -> float:
    """Returns the highest age of freshness evidence in a steady fleet.

    Returns:
        Virtual seconds.
    """
    return virtual_loop.run(_oldest_s(count))


async def _oldest_s(count: int) -> float:
    fleet = _start(count, 1)
    oldest_s = 0.0
    try:
        await asyncio.sleep(JOIN_S)
        for _ in range(AGE_SAMPLES):
            await asyncio.sleep(AGE_SAMPLE_PERIOD_S)
            ages = [vm.config.fresh_age_s() for vm in fleet.vms]
            oldest_s = max(oldest_s, *ages)
        return oldest_s
    finally:
        await fleet.stop()


def spread_s(count: int, dead: int, seed: int = 1) -> float:
    """Returns the time until all live daemons apply a new configuration.

    Args:
        count: Number of daemons.
        dead: Number of relays, from the second inner position of the tree
            on, whose daemons die when the change is written.
        seed: Seed of all random numbers.

    Returns:
        Virtual seconds from the write to the store, or ``TIMEOUT_S`` if a
        daemon still lacks the change by then.
    """
    return virtual_loop.run(_spread(count, dead, seed))


async def _spread(count: int, dead: int, seed: int) -> float:
    loop = asyncio.get_running_loop()
    fleet = _start(count, seed)
    try:
        await asyncio.sleep(JOIN_S)
        names = [synthetic.vm_name(i) for i in range(1, 1 + dead)]
        fleet.network.dead.update(names)
        live = fleet.vms[:1] + fleet.vms[1 + dead :]
        _write(fleet.store, 2)
        started_s = loop.time()
        while any(vm.config.version < 2 for vm in live):
            if loop.time() - started_s >= TIMEOUT_S:
                return TIMEOUT_S
            await asyncio.sleep(POLL_PERIOD_S)
        return loop.time() - started_s
    finally:
        await fleet.stop()


@dataclasses.dataclass
class _Fleet:
    """The modelled daemons with their network, store and running tasks."""

    vms: list[_Vm]
    network: model_network.ModelNetwork
    store: model_store.ModelStore
    running: list[asyncio.Future]

    async def stop(self) -> None:
        """Cancels all tasks and waits until they end."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


def _start(count: int, seed: int) -> _Fleet:
    loop = asyncio.get_running_loop()
    network = model_network.ModelNetwork(
        lambda source, target: (
            DOMAIN_DELAY_S if source == target else REGION_DELAY_S
        )
    )
    store = model_store.ModelStore(loop.time)
    _write(store, 1)
    identities = [synthetic.vm_identity(number) for number in range(count)]
    listing = _VmList(
        tuple(
            listed_vm.ListedVm(
                me.vm_id,
                me.region,
                me.failure_domain,
                me.http,
                me.peer,
                "live",
            )
            for me in identities
        )
    )
    vms = [
        _Vm(me, network, store, listing, seed * count + i)
        for i, me in enumerate(identities)
    ]
    running = [
        asyncio.ensure_future(task.run())
        for vm in vms
        for task in (vm.members, vm.config)
    ]
    return _Fleet(vms, network, store, running)


def _write(store: model_store.ModelStore, version: int) -> None:
    stored = synthetic.stored(UPSTREAMS, version, changed=version > 1)
    store.data.put(
        stored_config.CONFIG_KEY,
        codec.encode_stored(stored),
        store.data.revision_of(stored_config.CONFIG_KEY),
    )
