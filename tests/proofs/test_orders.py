"""Proofs that an order runs at most once and "not run" is true (I9, I10)."""

import asyncio

import pytest
from support import deployment

pytestmark = pytest.mark.asyncio(loop_scope="session")

ORDERS = 24


class OrderLog:
    """Sends the orders of one part and records the replies."""

    def __init__(self, running, name):
        self._running = running
        self.name = name
        self.key = running.parts[name].key
        self.not_run = set()
        self.replies = []

    async def send(self, session, vm_id, ticket):
        """Sends the order of a ticket; verifies a "not run" immediately."""
        reply = await deployment.send(
            session,
            self._running.url(vm_id, f"/{self.name}/{ticket}"),
            "POST",
            self.key,
            data=ticket.encode(),
            ticket=ticket,
        )
        self.replies.append((ticket, reply))
        outcome = reply.json.get("outcome")
        if reply.status >= 400:
            assert outcome in ("not_run", "unknown"), reply
        if outcome == "not_run":
            runs = await self._running.runs(self.name)
            assert runs["by_ticket"].get(ticket, 0) == 0, reply
            self.not_run.add(ticket)
        return reply


async def _any_order_ran(running, tickets):
    runs = (await running.runs("orders"))["by_ticket"]
    return any(ticket in runs for ticket in tickets)


async def test_killed_issuer_runs_no_order_twice(running):
    """Guards against a second run of an order whose VM was killed.

    When e1 is killed, orders are in flight on it, queued on it, being
    forwarded by it to their issuer, or not sent yet. Callers retry at once
    through e2, later through e3, and through e1 after its restart.
    """
    await running.wait_settled()
    await running.wait_served(names=["orders"])
    orders = OrderLog(running, "orders")
    flt = running.fleet
    async with deployment.caller() as session:
        issued = {}
        for vm_id in ("e1", "e2"):
            issued[vm_id] = await asyncio.gather(
                *(
                    deployment.ticket(session, running.url(vm_id), orders.key)
                    for _ in range(ORDERS)
                )
            )
        sent = issued["e1"][: ORDERS * 2 // 3] + issued["e2"]
        tickets = issued["e1"] + issued["e2"]
        first = [
            asyncio.create_task(orders.send(session, "e1", ticket))
            for ticket in sent
        ]
        await deployment.until(
            lambda: _any_order_ran(running, issued["e1"]), 5.0, "an order of e1"
        )
        flt.vms["e1"].process.kill()
        first_replies = [reply for reply in await asyncio.gather(*first)]
        assert any(reply.status == 0 for reply in first_replies)
        for vm_id in ("e2", "e3"):
            retries = await asyncio.gather(
                *(orders.send(session, vm_id, ticket) for ticket in tickets)
            )
            of_e1 = retries[:ORDERS]
            assert {r.json.get("outcome") for r in of_e1} == {"unknown"}
        flt.start_daemon(flt.vms["e1"])
        await flt.wait_ready(flt.vms["e1"])
        await running.wait_served(["e1"], ["orders"])
        await asyncio.gather(
            *(orders.send(session, "e1", ticket) for ticket in tickets)
        )
    runs = (await running.runs("orders"))["by_ticket"]
    assert {t: n for t, n in runs.items() if n > 1} == {}
    assert 0 < len([t for t in issued["e1"] if t in runs]) < ORDERS
    # Each order whose issuer is live ran exactly once.
    assert [t for t in issued["e2"] if runs.get(t) != 1] == []
    assert [t for t in orders.not_run if t in runs and t in issued["e1"]] == []


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_order_does_not_run_again_after_a_reset(running, method):
    """Guards against a retry after a reset, by the daemon or by aiohttp."""
    await running.wait_settled()
    await running.fleet.faults("lost-1", reset_share=0.0)
    await running.wait_served(names=["lost"])
    part = running.parts["lost"]
    await running.fleet.faults("lost-1", reset_share=1.0)
    async with deployment.caller() as session:
        ticket = await deployment.ticket(session, running.url("e1"), part.key)
        replies = []
        for vm_id in ("e1", "e1", "e2", "e3", "e1"):
            replies.append(
                await deployment.send(
                    session,
                    running.url(vm_id, f"/lost/{method}"),
                    method,
                    part.key,
                    data=b"one order",
                    ticket=ticket,
                )
            )
            runs = await running.runs("lost")
            assert runs["by_ticket"].get(ticket) == 1
    assert {(r.status, r.json.get("outcome")) for r in replies} == {
        (502, "unknown")
    }
    assert {r.headers.get("x-outcome") for r in replies} == {"unknown"}
