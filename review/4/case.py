"""A server breaks off a large answer; other answers on the connection are lost.

Clients send a large safe request behind one whose server is sound and still at
work. The VM closes the connection at once when the large answer breaks off, so
that the first request, which is being run, gets no answer.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as rig_module  # noqa: E402

CLIENTS = 20
PAIRS_PER_CLIENT = 50
# "More than three times" breaks the rule.
ALLOWED = 3
SLOW = "/stock/work=400"
LARGE = "/plan/size=400000"
# One of the two servers of the large answers breaks off 1 in 50 of them.
BREAK_EACH = 50


async def run_client(rig, vm, lost):
    """Sends pairs of requests on kept connections."""
    host, port = vm.entry.split(":")
    writer = None
    for _ in range(PAIRS_PER_CLIENT):
        if writer is None:
            reader, writer = await asyncio.open_connection(
                host, port, limit=1 << 20
            )
        first, second = rig.next_id(), rig.next_id()
        sent_s = time.monotonic()
        writer.write(rig.head(SLOW, first) + rig.head(LARGE, second))
        statuses = []
        try:
            for _ in (first, second):
                async with asyncio.timeout(8):
                    answer = await rig.read_answer(reader)
                statuses.append(answer[0])
        except (OSError, EOFError, TimeoutError) as exc:
            rig.note(
                "cut",
                vm=vm.name,
                sent=rig.at(sent_s),
                cut=rig.at(time.monotonic()),
                first=first,
                second=second,
                answered=statuses,
                end=type(exc).__name__,
            )
            writer.transport.abort()
            writer = None
            if not statuses and not isinstance(exc, TimeoutError):
                lost.append(first)
    if writer is not None:
        writer.transport.abort()


async def case(rig):
    """Has large answers break off; returns the violations."""
    await rig.start_store()
    await rig.write_config(
        [
            rig_module.rule("stock", "safe", "/stock/"),
            rig_module.rule("plan", "safe", "/plan/", service="gate"),
        ]
    )
    for number, zone in enumerate(("norte-a", "norte-b", "norte-a", "norte-b")):
        await rig.add_server(f"i-desk-{number}", zone, slots=10)
    fault = f"break={BREAK_EACH}" if rig.trouble else None
    await rig.add_server("i-gate-0", "norte-a", 10, 20, "gate", fault)
    await rig.add_server("i-gate-1", "norte-b", 10, 20, "gate")
    await rig.add_vms(["norte-a", "norte-b"])
    await asyncio.sleep(rig_module.CONTACT_S + 0.5)
    lost = []
    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            vm = rig.vms[number % len(rig.vms)]
            group.create_task(run_client(rig, vm, lost))
    events = rig.server_events()
    ran = {e["id"] for e in events if e["event"] == "run"}
    broken = sum(e["event"] == "broke off" for e in events)
    rig.note(
        "requests",
        pairs=CLIENTS * PAIRS_PER_CLIENT,
        large_answers=sum(
            "/plan/" in e["target"] and e["event"] == "run" for e in events
        ),
        broken_off=broken,
        lost=len(lost),
    )
    found = [
        f"LOST: request {req_id} ran at a sound server, and its connection was "
        "closed without an answer"
        for req_id in lost
        if req_id in ran
    ]
    return found if len(found) > ALLOWED else []


rig_module.play(FOLDER, case)
