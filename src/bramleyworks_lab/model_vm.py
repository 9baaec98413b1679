"""Model of a VM that runs the daemon's own tasks."""

import asyncio
import random

from bramleyworks.adapters import listed_vm
from bramleyworks.daemon import audit_task
from bramleyworks.daemon import config_task
from bramleyworks.daemon import heartbeat_builder
from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import limit_task
from bramleyworks.daemon import member_task
from bramleyworks.daemon import move_task
from bramleyworks.daemon import probe_task
from bramleyworks.daemon import slot
from bramleyworks.daemon import slot_request
from bramleyworks.daemon import slot_task
from bramleyworks.policy import entry_vm
from bramleyworks.policy import member_table
from bramleyworks.policy import sample
from bramleyworks.policy import slot_outcome
from bramleyworks_lab import model_network
from bramleyworks_lab import model_probe
from bramleyworks_lab import model_request
from bramleyworks_lab import model_store
from bramleyworks_lab import model_world

MAX_ATTEMPTS = 2
DEADLINE_S = 30.0


class _VmList:
    """Implements the platform's VM list."""

    def __init__(self, world: model_world.ModelWorld):
        self._world = world

    async def read(self) -> tuple[listed_vm.ListedVm, ...]:
        """Returns the listed VMs."""
        return tuple(self._world.vm_list)


class ModelVm:
    """Runs the tasks of one VM on virtual time.

    Attributes:
        me: Identity of the VM.
        first_cut_s: Time in seconds when this VM first knew of an aborted
            move, None if never.
    """

    def __init__(
        self,
        world: model_world.ModelWorld,
        me: identity.Identity,
        rng: random.Random,
    ):
        self.me = me
        self._world = world
        self.first_cut_s: float | None = None
        clock = world.clock
        link = model_network.ModelLink(world.network, me.vm_id, me.region)
        kv = model_store.StoreClient(
            world.store,
            me.region,
            world.deployment.latency_s(me.region, world.deployment.regions[0]),
            clock,
        )
        table = member_table.MemberTable(me.vm_id)
        self.audit = audit_task.AuditTask(me, kv, clock, rng)
        self.config = config_task.ConfigTask(me, link, kv, table, clock, rng)
        self.ledger = ledger_task.LedgerTask(
            me, kv, self.audit, clock, rng.random
        )
        self.limits = limit_task.LimitTask(me, link, self.ledger, clock, rng)
        self.slots = slot_task.SlotTask(
            me, link, self.ledger, self.limits, clock
        )
        self.moves = move_task.MoveTask(
            me, link, kv, self.audit, clock, clock, rng
        )
        self._members = member_task.MemberTask(
            me,
            link,
            _VmList(world),
            table,
            heartbeat_builder.HeartbeatBuilder(
                me, self.config, self.ledger, self.slots, self.moves
            ),
            (),
            clock,
            rng,
        )
        probes = probe_task.ProbeTask(
            model_probe.ModelProbe(world, me.region), self.slots, clock
        )
        self._tasks = (
            self.config,
            self.ledger,
            self.limits,
            self.slots,
            self.moves,
            self.audit,
            probes,
        )
        for task in self._tasks:
            if task is not self.config:
                self.config.subscribe(task.on_config)
            self._members.subscribe(task.on_fleet)
        self._members.subscribe_heartbeats(
            lambda msg: self.config.on_heartbeat(msg.vm_id, msg.config_version)
        )

    def start(self) -> list[asyncio.Task]:
        """Starts the tasks and returns them; the caller must cancel them."""
        return [
            asyncio.ensure_future(task.run())
            for task in (self._members, *self._tasks)
        ]

    def candidates(self) -> list[entry_vm.EntryVm]:
        """Returns the VMs that a look-up at this VM may name."""
        return self._members.entry_candidates(self.config.is_fresh_now())

    async def serve(
        self, req: model_request.ModelRequest
    ) -> model_request.Outcome:
        """Serves one request like ``daemon.front_app`` and ``daemon.proxy``."""
        clock = self._world.clock
        if self.first_cut_s is None and self.moves.aborted_moves():
            self.first_cut_s = clock()
        if self.config.version == 0 or not self.config.is_fresh(clock()):
            return "stale"
        deadline_s = clock() + DEADLINE_S
        limit = f"org:{req.organisation}"
        if not self.limits.try_take(limit, 1.0):
            if not await self.limits.wait(limit, 1.0, deadline_s):
                return "rate"
        self._world.events.record_admission(req.organisation, clock())
        exclude: tuple[str, ...] = ()
        for number in range(1, MAX_ATTEMPTS + 1):
            version = self.moves.choose_version(req.service, req.route)
            result = await self.slots.acquire(
                slot_request.SlotRequest(
                    req.service,
                    version,
                    req.organisation,
                    deadline_s,
                    exclude=exclude,
                )
            )
            if result.is_err():
                return "slot"
            granted = result.unwrap()
            if await self._send_upstream(req, granted, version):
                return "ok"
            exclude = (granted.upstream,)
            if number == MAX_ATTEMPTS or not self.slots.may_retry(req.service):
                break
        return "failed"

    async def _send_upstream(
        self, req: model_request.ModelRequest, granted: slot.Slot, version: str
    ) -> bool:
        world = self._world
        upstream = world.upstreams[granted.upstream]
        started_s = world.clock()
        world.events.record_upstream_request(
            self.me.region, granted.region, req.route, version, started_s
        )
        delay_s = world.deployment.latency_s(self.me.region, granted.region)
        is_ok = False
        await asyncio.sleep(delay_s)
        if world.is_reachable(self.me.region, granted.region):
            is_ok = await upstream.run(req.route, req.region, world.clock())
        await asyncio.sleep(delay_s)
        self.slots.release(
            granted,
            slot_outcome.SlotOutcome.OK
            if is_ok
            else slot_outcome.SlotOutcome.FAILED,
        )
        self.moves.record_sample(
            sample.Sample(
                route=req.route,
                version=version,
                failed=not is_ok,
                latency_s=world.clock() - started_s - 2 * delay_s,
                busy=granted.is_busy,
            )
        )
        return is_ok
