"""Tests of graceful stops (I12) and of draining upstreams (I11)."""

import asyncio
import hashlib
import time

import pytest
from support import deployment

from bramleyworks_standins import pattern

pytestmark = pytest.mark.asyncio(loop_scope="session")

DOCUMENT_BYTES = 40_000_000
DOWNLOAD_S = 9.0
# Time for which a lookup response may be used (docs/design.md, 3.1).
LOOKUP_TTL_S = 5.0
CALLERS = 12


async def _generate_load(running, name, stop, replies):
    """Sends requests through all VMs on persistent connections.

    Ends when the event is set.
    """
    key_text = running.parts[name].key

    async def send_requests(session, i):
        url = running.url(deployment.VM_IDS[i % 3], f"/{name}/{i}")
        while not stop.is_set():
            replies.append(
                await deployment.send(session, url, key_text=key_text)
            )

    async with deployment.caller() as session:
        await asyncio.gather(
            *(send_requests(session, i) for i in range(CALLERS))
        )


async def _has_requests(running, name):
    return (await running.fleet.runs(name))["runs"] > 0


async def test_draining_upstreams_get_no_new_requests(running):
    """Guards against new requests to a draining upstream and lost requests.

    One upstream is drained by the document, one by its own health endpoint.
    """
    await running.wait_settled()
    await running.wait_served(names=["leave"])
    names = ("leave-1", "leave-2")
    stop = asyncio.Event()
    replies = []
    load = asyncio.create_task(_generate_load(running, "leave", stop, replies))
    for name in names:
        await deployment.until(
            lambda name=name: _has_requests(running, name),
            10.0,
            f"requests on {name}",
        )
    url = running.fleet.urls["leave-2"]
    await running.fleet.post(f"{url}/-/drain", {"draining": True})
    await running.write(running.with_drain("leave-1"))
    await asyncio.sleep(deployment.CONFIG_PROPAGATION_S)
    drained = [await running.fleet.runs(name) for name in names]
    count = len(replies)
    await asyncio.sleep(1.5)
    stop.set()
    await load
    for name, before in zip(names, drained, strict=True):
        after = await running.fleet.runs(name)
        assert after["runs"] == before["runs"], name
        assert after["runs_after_drain"] == 0, name
        assert after["cancelled"] == 0, name
        assert after["incomplete"] == 0, name
    assert {reply.status for reply in replies} == {200}
    # The third upstream takes over the requests.
    assert len(replies) > count


async def _entry_vm_ids(session, running, vm_id):
    reply = await deployment.send(
        session, running.url(vm_id, "/v1/entry?client=127.0.0.1")
    )
    assert reply.status == 200
    return {item["id"] for item in reply.json["vms"]}


async def _download(running, started):
    """Downloads a document at an even rate; returns its size and digest."""
    digest = hashlib.sha256()
    size = 0
    started_s = time.monotonic()
    async with (
        deployment.caller() as session,
        session.get(
            running.url("e1", f"/documents/d?bytes={DOCUMENT_BYTES}"),
            headers={"X-Api-Key": running.parts["files"].key},
            timeout=None,
        ) as resp,
    ):
        assert resp.status == 200
        async for chunk in resp.content.iter_chunked(64 * 1024):
            digest.update(chunk)
            size += len(chunk)
            started.set()
            due_s = DOWNLOAD_S * size / DOCUMENT_BYTES
            await asyncio.sleep(max(0.0, started_s + due_s - time.monotonic()))
    return size, digest.hexdigest()


async def test_graceful_stop_interrupts_no_request(running):
    """Guards against a stop that interrupts requests or a download.

    Callers keep using e1 until the lookup response they got before the stop
    expires.
    """
    await running.wait_settled()
    await running.wait_served(names=["used"])
    key_text = running.parts["used"].key
    child = running.fleet.children["e1"]
    started = asyncio.Event()
    replies = {"GET": [], "POST": []}
    async with deployment.caller() as session, asyncio.TaskGroup() as group:
        assert "e1" in await _entry_vm_ids(session, running, "e2")
        download = group.create_task(_download(running, started))
        await started.wait()
        signalled_s = time.monotonic()

        async def send_until_expiry(method, i):
            while time.monotonic() < signalled_s + LOOKUP_TTL_S:
                replies[method].append(
                    await deployment.send(
                        session,
                        running.url("e1", f"/used/{i}"),
                        method,
                        key_text,
                        data=b"order" if method == "POST" else None,
                    )
                )

        callers = [
            group.create_task(send_until_expiry(method, i))
            for method in ("GET", "POST")
            for i in range(CALLERS // 2)
        ]
        await asyncio.sleep(0.3)
        signalled_s = time.monotonic()
        child.terminate()
        for vm_id in ("e1", "e2", "e3"):
            await deployment.until(
                lambda vm_id=vm_id: _is_not_listed(
                    session, running, vm_id, "e1"
                ),
                deployment.CONFIG_PROPAGATION_S,
                f"{vm_id} to stop returning e1",
            )
        await asyncio.gather(*callers)
        assert child.exit_code() is None
        size, digest = await download
    expected = hashlib.sha256()
    for chunk in pattern.chunks("d", DOCUMENT_BYTES):
        expected.update(chunk)
    assert (size, digest) == (DOCUMENT_BYTES, expected.hexdigest())
    assert {reply.status for reply in replies["GET"]} == {200}
    # A stopping VM issues no more tickets. It refuses a POST without a ticket
    # as not run, so the caller may send it to another VM.
    assert {
        (reply.status, reply.json.get("outcome")) for reply in replies["POST"]
    } <= {(200, None), (503, "not_run")}
    assert await asyncio.to_thread(child.wait, 30.0) == 0
    for name in running.parts["used"].names:
        runs = await running.fleet.runs(name)
        assert runs["cancelled"] == 0
        assert runs["incomplete"] == 0


async def _is_not_listed(session, running, vm_id, removed_id):
    return removed_id not in await _entry_vm_ids(session, running, vm_id)
