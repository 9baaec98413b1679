"""Rate limits that upstreams name, kept by all VMs of a fleet together."""

import asyncio
import contextlib
import random
import time

from support import platform_fleet

# An upstream may get half more in any window than it takes, and five requests.
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5
CONTACT_S = 4.0


def most_in_a_window(times):
    """Returns the largest number of times within ``WINDOW_S``."""
    return max(
        (
            sum(1 for at_s in times if start_s <= at_s < start_s + WINDOW_S)
            for start_s in times
        ),
        default=0,
    )


@contextlib.asynccontextmanager
async def limited_fleet(folder):
    """Runs three VMs; two of the three upstreams suffice for 60 requests/s."""
    async with platform_fleet.small_fleet(folder, vms=3, upstreams=0) as fleet:
        for name in ("u1", "u2", "u3"):
            await fleet.add_upstream(name, slots=8, work_ms=100)
        for vm in fleet.vms:
            await fleet.wait_for_upstreams(vm, 3)
        yield fleet


async def send_steadily(fleet, rate_per_s, seconds, seed):
    """Sends requests through random VMs; returns the statuses."""
    rng = random.Random(seed)
    tasks = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        tasks.append(
            asyncio.create_task(
                fleet.send_request(
                    rng.choice(fleet.vms), f"/stock/{rng.randrange(20)}"
                )
            )
        )
        await asyncio.sleep(rng.expovariate(rate_per_s))
    return [response[0] for response in await asyncio.gather(*tasks)]


async def test_upstream_gets_no_more_than_the_limit_that_it_names(tmp_path):
    """Guards against VMs that send as before to an upstream in need."""
    rate_per_s = 2.0
    async with limited_fleet(tmp_path) as fleet:
        await send_steadily(fleet, 60, 1.0, 1)
        await fleet.upstream_fault("u1", f"limit={rate_per_s}")
        named_s = time.monotonic()
        statuses = await send_steadily(fleet, 60, CONTACT_S + 6.0, 2)
        limited = await fleet.upstream_status("u1")
    sent_s = [
        run["at_s"]
        for run in limited["runs"]
        if run["at_s"] >= named_s + CONTACT_S
    ]
    assert most_in_a_window(sent_s) <= OVER * rate_per_s * WINDOW_S + SLACK
    # The limit is used, and the other upstreams take what it keeps away.
    assert len(sent_s) >= 0.5 * rate_per_s * 6.0
    assert statuses.count(200) >= 0.99 * len(statuses)


async def test_callers_are_refused_at_once_when_all_upstreams_are_limited(
    tmp_path,
):
    """Guards against requests that wait, or return before there is room."""
    async with limited_fleet(tmp_path) as fleet:
        for name in ("u1", "u2", "u3"):
            await fleet.upstream_fault(name, "limit=0.5")
        await send_steadily(fleet, 40, 2.0, 3)
        started_s = time.monotonic()
        responses = await asyncio.gather(
            *(
                fleet.send_request(fleet.vms[0], f"/order/{n}", "POST")
                for n in range(20)
            )
        )
        elapsed_s = time.monotonic() - started_s
        ran = {run["id"] for run in await fleet.runs()}
    refused = [r for r in responses if r[0] == 503]
    assert len(refused) >= 15
    assert elapsed_s < 0.5
    assert not ran & {request_id for *_, request_id in refused}
    waits = sorted(float(r[1]["Retry-After"]) for r in refused)
    # Callers honour a wait of up to a third of the time that they have left.
    assert waits[0] > 0.1 and waits[-1] <= 2.0 / 3
