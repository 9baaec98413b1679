"""A service that is brought in gets no request.

Its servers start, report that they are cold and then that they are warm. After
that a configuration adds the service and a route to it.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as rig_module  # noqa: E402

CONFIG_APPLY_S = 2.5
BEAT_S = 1.5
COLD_MS = 3000
REQUESTS = 100


async def send(rig, vm, path):
    """Sends one request on a connection of its own; returns the status."""
    host, port = vm.entry.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(rig.head(path, rig.next_id()))
        async with asyncio.timeout(8):
            return (await rig.read_answer(reader))[0]
    except (OSError, EOFError, TimeoutError) as exc:
        return type(exc).__name__
    finally:
        writer.transport.abort()


async def case(rig):
    """Brings in a service; returns the violations."""
    stock = rig_module.rule("stock", "safe", "/stock/")
    plan = rig_module.rule("plan", "safe", "/plan/", service="gate")
    await rig.start_store()
    await rig.write_config([stock], version=1, services=["desk"])
    for number, zone in enumerate([*rig_module.ZONES, *rig_module.ZONES]):
        await rig.add_server(f"i-desk-{number}", zone, work_ms=50)
    await rig.add_vms(list(rig_module.ZONES))
    await asyncio.sleep(rig_module.CONTACT_S + 0.5)
    # A share of 0.3 more servers at most.
    new = {f"i-gate-{zone}": zone for zone in ("norte-a", "centro-a", "sul-a")}
    for name, zone in new.items():
        # Without the disruption the servers are warm from the start.
        cold_ms = COLD_MS if rig.trouble else 0
        await rig.add_server(
            name, zone, work_ms=50, service="gate", cold_left_ms=cold_ms
        )
    if rig.trouble:
        for cold_ms in (COLD_MS - 1500, 0):
            await asyncio.sleep(BEAT_S)
            for name in new:
                await rig.beat(name, cold_ms)
    await asyncio.sleep(BEAT_S)
    await rig.write_config([stock, plan], version=4, services=["desk", "gate"])
    await asyncio.sleep(CONFIG_APPLY_S + rig_module.CONTACT_S)
    answers = {"/stock/1": [], "/plan/1": []}
    for number in range(REQUESTS):
        vm = rig.vms[number % len(rig.vms)]
        for path, statuses in answers.items():
            statuses.append(await send(rig, vm, path))
        await asyncio.sleep(0.05)
    served = {path: found.count(200) for path, found in answers.items()}
    rig.note(
        "requests",
        answers={
            path: {str(s): found.count(s) for s in set(found)}
            for path, found in answers.items()
        },
        runs_of_new_servers=sum(
            e["event"] == "run" and e["server"] in new
            for e in rig.server_events()
        ),
    )
    if served["/plan/1"] * 4 >= served["/stock/1"]:
        return []
    return [
        f"CONFIG: of {REQUESTS} requests on the route that was added "
        f"{served['/plan/1']} were served, of {REQUESTS} on the first route "
        f"{served['/stock/1']}"
    ]


rig_module.play(FOLDER, case)
