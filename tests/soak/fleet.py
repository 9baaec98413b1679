"""The processes of a soak run, and the faults that are done to them."""

import asyncio
import json
import signal
import time

from soak import link
from soak import plan
from soak import record
from support import platform_fleet
from support import ports

VMS = (("vm1", "one"), ("vm2", "one"), ("vm3", "two"))
UPSTREAMS = (("u1", "one-a"), ("u2", "one-a"), ("u3", "two-a"), ("u4", "two-a"))
# Upstreams of the service that moves to a new version.
OLD_VERSION = (("g1", "one-a"), ("g2", "two-a"))
NEW_VERSION = (("g3", "one-a"), ("g4", "two-a"))
EVACUATED = "one-a"
WATCH_S = 0.05
# The platform starts an ended process again after a short delay.
RESTART_S = 0.2
# ``grace_s`` in the settings of ``platform_fleet``, and a second to spare.
STOP_S = 5.0
# A drained upstream serves on for ``drain_ms`` and a little longer.
DRAIN_S = 3.5
# Time between the resets, or silences, of one series.
SERIES_S = 0.15
# Long enough for requests to be running whenever a fault comes.
WORK_MS = 80
# A lapsed registration stays for three heartbeats.
LAPSE_S = 1.5


def _config(version):
    """Returns a version that has all routes of the earlier ones."""
    rules = [
        platform_fleet.rule("gate", "safe", "/gate/", "gate"),
        platform_fleet.rule("gate-order", "unsafe", "/gate-order/", "gate"),
    ]
    rules += [
        platform_fleet.rule(f"added{n}", "safe", f"/added{n}/", "desk")
        for n in range(2, version + 1)
    ]
    keys = [platform_fleet.KEY, f"key-{version}"]
    return platform_fleet.config(version, rules=rules, keys=keys)


class SoakFleet:
    """Entry VMs, upstreams and the store, each behind links."""

    def __init__(self, folder, fleet, rec):
        self.rec = rec
        self.links = {}
        self.starts = {}
        self.newest = 1
        self._folder = folder
        self._fleet = fleet
        self._vms = {}
        # When and how the harness last signalled a VM's process to end.
        self._told_to_end = {}
        self._paused = set()
        self._names = {}
        self._domains = dict(OLD_VERSION + NEW_VERSION)
        self._addresses = {}
        self._count = 0
        self._tasks = set()

    async def start(self):
        """Starts everything and waits until it can serve."""
        await self._fleet.write_store({"op/config": _config(1)})
        for place, domain in UPSTREAMS:
            self._addresses[place] = f"127.0.0.1:{ports.free_port()}"
            await self._add_link(f"upstream:{place}", self._addresses[place])
            await self._start_upstream(place, domain)
        for name, domain in OLD_VERSION:
            await self._fleet.add_upstream(
                name, work_ms=WORK_MS, domain=domain, service="gate"
            )
        for name, region in VMS:
            store = await self._add_link(f"store:{name}", self._fleet.store)
            vm = await self._fleet.add_vm(region, False, store.address)
            self._vms[name] = vm
            self.starts[name] = 1
            entry = f"{vm.ip}:{vm.values['entry']}"
            await self._add_link(f"caller:{name}", entry)
        for vm in self._vms.values():
            await self._fleet.wait_until(
                lambda vm=vm: self._fleet.is_ready(vm), vm
            )
        for name in self._vms:
            self._spawn(self._watch(name))

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for item in self.links.values():
            await item.close()

    async def do(self, fault: plan.Fault):
        """Does one fault and, after its time, ends it."""
        kind, _, how = fault.kind.partition("_")
        act = {
            "vm": self._vm_fault,
            "link": self._link_fault,
            "store": self._store_fault,
            "upstream": self._upstream_fault,
            "config": self._new_config,
            "evacuate": self._evacuate,
            "move": self._move,
        }[kind]
        await act(how, fault)

    async def end_faults(self):
        """Ends what may still be harmed."""
        await self._fleet.store_faults()
        for item in self.links.values():
            item.set_mode(link.OPEN)
        for place, _ in UPSTREAMS:
            await self._fleet.upstream_fault(self._names[place], "")

    def runs(self):
        """Reads what the upstreams noted, also those that were killed."""
        found = []
        for name in self._fleet.upstreams:
            path = self._folder / f"{name}.log"
            for line in path.read_text().splitlines():
                if line.startswith("{"):
                    run = json.loads(line)
                    found.append(
                        record.Run(
                            run["id"],
                            name,
                            self._domains[name],
                            run["method"],
                            run["target"],
                            run["body"],
                            run["headers"],
                            run["at_s"],
                        )
                    )
        return found

    async def _add_link(self, name, target):
        item = link.Link(target)
        await item.start()
        self.links[name] = item
        return item

    def _spawn(self, coro):
        self._tasks.add(asyncio.create_task(coro))

    def _harm(self, fault, vm="", extra_s=0.0):
        now_s = time.monotonic()
        self.rec.harmed.append(
            record.Span(now_s, now_s + fault.for_s + extra_s, vm)
        )

    # VMs.

    async def _watch(self, name):
        """Starts a VM's process again whenever it has ended."""
        vm = self._vms[name]
        while True:
            await asyncio.sleep(WATCH_S)
            told_s, number = self._told_to_end.get(name, (None, 0))
            code = vm.process.exit_code()
            if code is None:
                outlived = (
                    number == signal.SIGTERM
                    and name not in self._paused
                    and time.monotonic() > told_s + STOP_S
                )
                if outlived:
                    self.rec.late_stops.append(
                        f"{name} still runs {STOP_S} s after SIGTERM"
                    )
                    del self._told_to_end[name]
                continue
            if told_s is None:
                self.rec.ended.append(f"{name} ended with {code}")
            await asyncio.sleep(RESTART_S)
            self._told_to_end.pop(name, None)
            self.starts[name] += 1
            await self._fleet.restart(vm, wait=False)
            now_s = time.monotonic()
            self.rec.harmed.append(record.Span(now_s, now_s, name))

    async def _vm_fault(self, how, fault):
        name = fault.target
        process = self._vms[name].process
        if process.exit_code() is not None:
            return
        if how == "reload":
            process.signal(signal.SIGHUP)
        elif how == "pause":
            self._harm(fault, name)
            process.pause()
            self._paused.add(name)
            await asyncio.sleep(fault.for_s)
            if process.exit_code() is None:
                process.resume()
            if name in self._told_to_end:
                # The time in which it could not stop does not count.
                told_s, number = self._told_to_end[name]
                self._told_to_end[name] = (told_s + fault.for_s, number)
            self._paused.discard(name)
        else:
            number = signal.SIGKILL if how == "kill" else signal.SIGTERM
            self._harm(fault, name, STOP_S if how == "stop" else 0.0)
            self._told_to_end[name] = (time.monotonic(), number)
            process.signal(number)

    # Links and the store.

    async def _link_fault(self, how, fault):
        item = self.links[fault.target]
        place, _, name = fault.target.partition(":")
        if place != "upstream":
            self._harm(fault, name)
        if how in ("reset", "silence"):
            harm = item.reset if how == "reset" else item.silence
            end_s = time.monotonic() + fault.for_s
            while time.monotonic() < end_s:
                harm()
                await asyncio.sleep(SERIES_S)
        else:
            item.set_mode(link.DELAY if how == "delay" else fault.how)
            await asyncio.sleep(fault.for_s)
            item.set_mode(link.OPEN)

    async def _store_fault(self, how, fault):
        self._harm(fault)
        if how == "compact":
            await self._fleet.store_faults(compact=True)
        elif how == "pause":
            self._fleet.store_process.pause()
            await asyncio.sleep(fault.for_s)
            self._fleet.store_process.resume()
        else:
            await self._fleet.store_faults({"*": fault.how})
            await asyncio.sleep(fault.for_s)
            await self._fleet.store_faults()

    async def _new_config(self, how, fault):
        del how, fault
        version = self.newest + 1
        self.newest = version
        await self._fleet.write_store({"op/config": _config(version)})
        self.rec.configs[version] = time.monotonic()

    async def _evacuate(self, how, fault):
        del how
        key = f"op/evacuate/{EVACUATED}"
        await self._fleet.write_store({key: {}})
        start_s = time.monotonic()
        await asyncio.sleep(fault.for_s)
        self.rec.evacuated.append(
            record.Evacuation(EVACUATED, start_s, time.monotonic())
        )
        await self._fleet.write_store(remove=[key])

    async def _move(self, how, fault):
        del how
        bad = fault.how == "bad"
        for name, domain in NEW_VERSION:
            await self._fleet.add_upstream(
                name,
                work_ms=WORK_MS,
                domain=domain,
                service="gate",
                version="v2",
            )
            if bad:
                await self._fleet.upstream_fault(name, "error")
        order = {"service": "gate", "to_version": "v2", "over_s": fault.for_s}
        await self._fleet.write_store({"op/rollout/gate": order})
        start_s = time.monotonic()
        await asyncio.sleep(fault.for_s)
        rows = await self._fleet.store_rows()
        state = rows.get("status/rollout/gate", {}).get("state", "")
        self.rec.moves.append(
            record.Move(start_s, time.monotonic(), bad, state)
        )
        if state == "done":
            for name, _ in OLD_VERSION:
                self._fleet.upstreams[name][1].kill()
            await self._fleet.write_store(
                remove=[f"servers/{name}" for name, _ in OLD_VERSION]
            )

    # Upstreams.

    async def _start_upstream(self, place, domain):
        self._count += 1
        name = f"{place}n{self._count}"
        self._names[place] = name
        self._domains[name] = domain
        await self._fleet.add_upstream(
            name,
            work_ms=WORK_MS,
            domain=domain,
            address=self._addresses[place],
            addr=self.links[f"upstream:{place}"].address,
        )

    async def _upstream_fault(self, how, fault):
        place = fault.target
        name = self._names[place]
        process = self._fleet.upstreams[name][1]
        domain = dict(UPSTREAMS)[place]
        if how == "fault":
            await self._fleet.upstream_fault(name, fault.how)
            await asyncio.sleep(fault.for_s)
            if process.exit_code() is None:
                await self._fleet.upstream_fault(name, "")
        elif how == "pause":
            process.pause()
            await asyncio.sleep(fault.for_s)
            if process.exit_code() is None:
                process.resume()
        elif how == "drain":
            await self._fleet.register(name, domain=domain, state="draining")
            self.rec.drained[name] = time.monotonic()
            await asyncio.sleep(DRAIN_S)
            await self._replace(place, name, process, domain, 0.0)
        else:
            gap_s = fault.for_s if how == "kill" else 0.0
            await self._replace(place, name, process, domain, gap_s)

    async def _replace(self, place, name, process, domain, gap_s):
        """Ends an upstream; another one starts at its address."""
        if self._names[place] != name or process.exit_code() is not None:
            return
        process.kill()
        await asyncio.sleep(gap_s)
        await self._start_upstream(place, domain)
        await asyncio.sleep(LAPSE_S)
        await self._fleet.write_store(remove=[f"servers/{name}"])
