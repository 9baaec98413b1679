"""Proofs that each caller gets the complete response to its request (I8)."""

import asyncio

import pytest
from support import deployment

pytestmark = pytest.mark.asyncio(loop_scope="session")

REQUESTS = 150


async def _send_distinct(running, name):
    """Sends requests with distinct paths to all VMs over few connections.

    Returns:
        Pairs of the requested path and the reply.
    """
    part = running.parts[name]

    async def one(session, i):
        path = f"/{name}/{i}"
        url = running.url(deployment.VM_IDS[i % 3], path)
        return path, await deployment.send(session, url, key_text=part.key)

    async with deployment.caller(connections=9) as session:
        return await asyncio.gather(*(one(session, i) for i in range(REQUESTS)))


@pytest.mark.parametrize("after_ms", [0.0, 5.0])
@pytest.mark.parametrize("name", ["echo", "mute"])
async def test_duplicate_response_reaches_no_other_caller(
    running, name, after_ms
):
    """Guards against a pooled connection that delivers a stale response.

    The duplicate response is sent at once, or later, when the connection may
    already carry the next request. One upstream echoes the request id, the
    other does not.
    """
    for upstream in running.parts[name].names:
        await running.fleet.faults(
            upstream,
            echo_id=name == "echo",
            extra_share=0.5,
            extra_after_ms=after_ms,
            late_share=0.2,
            late_ms=20.0,
        )
    replies = await _send_distinct(running, name)
    served = [item for item in replies if item[1].status == 200]
    assert [
        (path, reply.body)
        for path, reply in served
        if reply.json.get("path") != path
    ] == []
    assert len(served) >= REQUESTS // 2, [r[1].body for r in replies][:9]


async def test_truncated_body_never_looks_complete(running):
    """Guards against a truncated response that looks complete."""
    await running.fleet.faults("short-1", short_share=1.0)
    key_text = running.parts["short"].key
    async with deployment.caller() as session:
        replies = [
            await deployment.send(
                session, running.url("e1", f"/short/{i}"), key_text=key_text
            )
            for i in range(2)
        ]
    # The status line was already sent, so the connection must be closed.
    assert [reply.status for reply in replies] == [0, 0]
