"""A server leaves just after the VM that reads the store was cut off from it.

The other VMs of the region copy the store from that VM. They never learn that
the server has left, and go on to send requests to it.
"""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as rig_module  # noqa: E402

ZONES = list(rig_module.ZONES) * 3
REGION = "norte"
CUT_S = 4.0
# The server goes on to serve after its entry has been removed.
STAYS_S = 14.0
LEAVING = "i-leaving"
# Seconds from the time at which the VM reads the store again to the leaving.
LEAVES_AFTER_S = 1.3


class Callers:
    """Clients that send one request after the other through each VM."""

    def __init__(self, rig):
        self._rig = rig
        self.sent = {}
        self.answers = []
        self._tasks = []

    def start(self, vms):
        """Starts a client for each VM."""
        self._tasks = [asyncio.create_task(self._run(vm)) for vm in vms]

    async def stop(self):
        """Ends all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, vm):
        while True:
            with contextlib.suppress(OSError, EOFError):
                await self._use_connection(vm)
            await asyncio.sleep(0.1)

    async def _use_connection(self, vm):
        reader, writer = await asyncio.open_connection(*vm.entry.split(":"))
        try:
            while True:
                req_id = self._rig.next_id()
                self.sent[req_id] = (vm, time.monotonic())
                item = random.randrange(40)
                writer.write(self._rig.head(f"/stock/{item}", req_id, key=item))
                status, _, _ = await self._rig.read_answer(reader)
                self.answers.append(status)
                await asyncio.sleep(0.15)
        finally:
            writer.transport.abort()


async def find_reader(rig):
    """Returns the VM of the region that watches the store."""
    before = {vm.name: vm.link.watches for vm in rig.vms}
    await asyncio.sleep(2.0)
    return max(
        (vm for vm in rig.vms if vm.region == REGION),
        key=lambda vm: vm.link.watches - before[vm.name],
    )


async def case(rig):
    """Lets a server leave after a cut; returns the violations."""
    await rig.start_store()
    await rig.write_config(
        [rig_module.rule("stock", "safe", "/stock/", sticky=True)]
    )
    for number, zone in enumerate(rig_module.ZONES):
        await rig.add_server(f"i-{number}", zone, slots=5, work_ms=50)
    await rig.add_server(LEAVING, "norte-a", slots=5, work_ms=50)
    await rig.add_vms(ZONES, with_links=True)
    callers = Callers(rig)
    callers.start(rig.vms)
    await asyncio.sleep(rig_module.CONTACT_S + 1.0)
    reader = await find_reader(rig)
    rig.note("reader", vm=reader.name)
    if rig.trouble:
        reader.link.cut()
        rig.note("cut", vm=reader.name)
    await asyncio.sleep(CUT_S)
    reader.link.heal()
    rig.note("healed", vm=reader.name)

    answered = reader.link.answered_watches

    async def reads_again():
        return reader.link.answered_watches > answered

    await rig.until(reads_again, "the store at the VM that was cut off")
    rig.note("reads again", vm=reader.name)
    await asyncio.sleep(LEAVES_AFTER_S)
    acked_s = await rig.write(remove=[f"servers/{LEAVING}"])
    await asyncio.sleep(STAYS_S)
    await callers.stop()
    late = []
    for event in rig.server_events():
        if event["server"] != LEAVING or event["event"] != "arrived":
            continue
        vm, sent_s = callers.sent[event["id"]]
        after_s = event["t"] - acked_s
        if after_s <= rig_module.DRAIN_S or vm is reader:
            continue
        late.append(
            f"DRAIN: request {event['id']}, sent to {vm.name} at "
            f"{rig.at(sent_s)}, reached {LEAVING} {after_s:.2f} s after its "
            "leaving was acknowledged"
        )
    rig.note(
        "requests",
        sent=len(callers.sent),
        answers={
            str(s): callers.answers.count(s) for s in set(callers.answers)
        },
        late_by_vm={
            vm.name: sum(f" {vm.name} " in text for text in late)
            for vm in rig.vms
        },
    )
    return late


rig_module.play(FOLDER, case)
