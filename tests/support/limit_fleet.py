"""Simulated fleet of ledger and limit tasks on virtual time."""

import asyncio
import random

from support import fake_store

from bramleyworks.daemon import identity
from bramleyworks.daemon import ledger_task
from bramleyworks.daemon import limit_task
from bramleyworks.document import document
from bramleyworks.document import organisation
from bramleyworks.document import stored_config
from bramleyworks.document import upstream
from bramleyworks.messages import codec
from bramleyworks.messages import heartbeat
from bramleyworks.policy import fleet_view
from bramleyworks.policy import member

REGIONS = ("a", "b", "c")


class AuditRecorder:
    """Collects audit entries."""

    def __init__(self):
        self.notes = []

    def record(self, kind, subject, cause):
        self.notes.append((kind, subject, cause))


class DelayedLink:
    """Peer link that delivers messages after the delay of the path."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.handlers = {}
        self.sent = 0
        self.sent_bytes = 0

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, msg):
        if name not in self.fleet.vms:
            return False
        data = codec.encode(msg)
        self.sent += 1
        self.sent_bytes += len(data)
        delay_s = self.fleet.delay_s(self.name, name)
        self.fleet.loop.call_later(delay_s, self._deliver, name, data)
        return True

    def _deliver(self, name, data):
        vm = self.fleet.vms.get(name)
        pair = (self.name, name)
        if vm is None or self.name not in self.fleet.vms:
            return
        if pair in self.fleet.blocked_paths:
            return
        msg = codec.decode(data, self.name).unwrap()
        handler = vm.link.handlers.get(type(msg))
        if handler:
            handler(self.name, msg)


class Vm:
    """Ledger task and limit task of one VM."""

    def __init__(self, fleet, name, region, incarnation):
        self.me = identity.Identity(
            name, incarnation, region, "1", f"{name}:80", f"{name}:90"
        )
        self.link = DelayedLink(fleet, name)
        self.audit = AuditRecorder()
        rng = random.Random(f"{name}/{incarnation}")
        clock = fleet.loop.time
        self.ledger = ledger_task.LedgerTask(
            self.me, fleet.store, self.audit, clock, rng.random
        )
        self.limits = limit_task.LimitTask(
            self.me, self.link, self.ledger, clock, rng
        )
        self.received_s = {}
        self.tasks = [
            fleet.loop.create_task(self.ledger.run()),
            fleet.loop.create_task(self.limits.run()),
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Runs VMs with heartbeats once a second.

    Attributes:
        listed: Names of the VMs on the platform's list.
        blocked_paths: Pairs of sender and receiver whose messages are lost.
    """

    def __init__(self, loop, stored):
        self.loop = loop
        self.store = fake_store.FakeStore(loop.time)
        self.stored = stored
        self.vms = {}
        self.listed = set()
        self.blocked_paths = set()
        self.heartbeat_task = loop.create_task(self._send_heartbeats())

    def delay_s(self, source, target):
        same_region = self.vms[source].me.region == self.vms[target].me.region
        return 0.001 if same_region else 0.035

    def start(self, name, region, incarnation="1"):
        self.listed.add(name)
        vm = Vm(self, name, region, incarnation)
        self.vms[name] = vm
        vm.ledger.on_config(self.stored)
        vm.limits.on_config(self.stored)
        return vm

    def kill(self, name):
        self.vms.pop(name).stop()

    def stop(self):
        self.heartbeat_task.cancel()
        for name in list(self.vms):
            self.kill(name)

    def make_heartbeat(self, vm):
        me = vm.me
        return heartbeat.Heartbeat(
            vm_id=me.vm_id,
            incarnation=me.incarnation,
            sequence=1,
            region=me.region,
            failure_domain="1",
            http=me.http,
            peer=me.peer,
            config_version=1,
            fresh_age_s=0.0,
            draining=False,
            ledger_epoch=vm.ledger.epoch(),
            free_slots={},
        )

    async def _send_heartbeats(self):
        while True:
            now_s = self.loop.time()
            heartbeats = {
                name: self.make_heartbeat(vm) for name, vm in self.vms.items()
            }
            for name, vm in self.vms.items():
                live = {}
                for peer, msg in heartbeats.items():
                    if peer != name and (peer, name) not in self.blocked_paths:
                        vm.received_s[peer] = now_s
                        live[peer] = member.Member(msg, now_s)
                view = fleet_view.FleetView(
                    name,
                    live,
                    frozenset(self.listed),
                    received_s=dict(vm.received_s),
                )
                vm.ledger.on_fleet(view)
                vm.limits.on_fleet(view)
            await asyncio.sleep(1.0)

    def units(self):
        return {name: vm.ledger.units() for name, vm in self.vms.items()}


async def cancel_other_tasks():
    """Cancels all other tasks of the loop at the end of a test."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def make_config(organisations, upstreams=0):
    """Returns a configuration.

    Args:
        organisations: Rate per second and burst, by name of organisation.
        upstreams: Number of upstreams, spread over the regions.
    """
    return stored_config.StoredConfig(
        1,
        "apply",
        "test",
        0.0,
        document.Document(
            organisations=tuple(
                organisation.Organisation(name, rate, burst)
                for name, (rate, burst) in organisations.items()
            ),
            upstreams=tuple(
                upstream.Upstream(
                    f"up{index:02}",
                    "desk",
                    "1",
                    REGIONS[index % len(REGIONS)],
                    "1",
                    f"http://10.0.0.{index}:80",
                    5,
                )
                for index in range(upstreams)
            ),
        ),
    )
