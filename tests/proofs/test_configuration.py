"""Tests that an accepted document stays in use during store faults (I13)."""

import asyncio
import time
import uuid

import msgspec
import pytest
from support import deployment

from bramleyworks.document import codec
from bramleyworks.document import stored_config
from bramleyworks.operations import apply_errors
from bramleyworks.operations import config_writer

pytestmark = pytest.mark.asyncio(loop_scope="session")

OUTAGE_S = 5.0
SLOW_MS = 700.0
ROUNDS = 8


async def _read_stored(running):
    entry = await running.fleet.kv.get(stored_config.CONFIG_KEY)
    return codec.decode_stored(entry.value).unwrap()


async def _apply(running, doc, base_version, author):
    return await config_writer.apply(
        running.fleet.kv,
        doc,
        base_version,
        author,
        time.time(),
        uuid.uuid4().hex,
    )


def _with_max_request_s(doc, max_request_s):
    """Returns the document with a change that identifies its author."""
    return msgspec.structs.replace(
        doc,
        services=tuple(
            msgspec.structs.replace(item, max_request_s=max_request_s)
            if item.name == "gone"
            else item
            for item in doc.services
        ),
    )


async def test_only_one_of_two_concurrent_applies_succeeds(running):
    """Guards against an operator who overwrites another operator's change."""
    for _ in range(ROUNDS):
        base = await _read_stored(running)
        docs = {
            "ann": _with_max_request_s(base.doc, 10.0 + base.version),
            "bea": _with_max_request_s(base.doc, 20.0 + base.version),
        }
        results = dict(
            zip(
                docs,
                await asyncio.gather(
                    *(
                        _apply(running, doc, base.version, author)
                        for author, doc in docs.items()
                    )
                ),
                strict=True,
            )
        )
        winners = [
            author for author, applied in results.items() if applied.is_ok()
        ]
        assert len(winners) == 1, results
        (loser,) = docs.keys() - set(winners)
        rejection = results[loser].unwrap_err()
        assert isinstance(rejection, apply_errors.StaleBaseError)
        assert [(e.version, e.author) for e in rejection.entries] == [
            (base.version + 1, winners[0])
        ]
        latest = await _read_stored(running)
        assert latest.version == base.version + 1
        assert latest.doc == docs[winners[0]]
    running.doc = latest.doc
    await running.fleet.wait_version(latest.version)


class BackgroundLoad:
    """Sends requests with keys and reads versions continuously."""

    def __init__(self, running):
        self._running = running
        self._stop = asyncio.Event()
        self.replies = []
        self.versions = {}

    async def run(self):
        async with deployment.caller() as session:
            await asyncio.gather(
                *(
                    self._repeat(session, vm_id, action)
                    for vm_id in deployment.VM_IDS
                    for action in (self._request, self._request, self._status)
                )
            )

    def stop(self):
        self._stop.set()

    async def _repeat(self, session, vm_id, action):
        while not self._stop.is_set():
            await action(session, vm_id)
            await asyncio.sleep(0.03)

    async def _request(self, session, vm_id):
        for name in ("kept", "gone"):
            sent_s = time.monotonic()
            reply = await deployment.send(
                session,
                self._running.url(vm_id, f"/{name}/{vm_id}"),
                key_text=self._running.parts[name].key,
            )
            self.replies.append((name, vm_id, sent_s, reply))

    async def _status(self, session, vm_id):
        reply = await deployment.send(
            session, self._running.url(vm_id, "/-/status")
        )
        if reply.status == 200:
            key = (vm_id, reply.json["incarnation"])
            versions = self.versions.setdefault(key, [])
            versions.append(reply.json["config_version"])


async def test_store_outage_reverts_no_document(running):
    """Guards against a store outage that stops requests or reverts a document.

    The store is unavailable, then slow, then loses the responses to writes. A
    daemon restarts during the outage and can get the document, in which a key
    is withdrawn, only from its peers.
    """
    flt = running.fleet
    await running.wait_settled()
    doc = running.without_keys("gone")
    await running.change(doc)
    base = await _read_stored(running)
    load = BackgroundLoad(running)
    load_task = asyncio.create_task(load.run())
    await asyncio.sleep(0.3)

    await flt.faults("store", down=True)
    failed = await _apply(running, doc, base.version, "ann")
    assert isinstance(failed.unwrap_err(), apply_errors.NotWrittenError)
    await asyncio.sleep(OUTAGE_S - 3.0)
    killed_s = time.monotonic()
    flt.vms["e3"].process.kill()
    flt.start_daemon(flt.vms["e3"])
    await flt.wait_ready(flt.vms["e3"])
    await flt.wait_version(base.version, [flt.vms["e3"]])
    await running.wait_served(["e3"], ["kept"])
    served_s = time.monotonic()
    counts = await flt.get(f"{flt.urls['store']}/-/counts")
    assert counts["down"] > 0
    await asyncio.sleep(0.5)

    await flt.faults("store", down=False, slow_ms=SLOW_MS)
    await asyncio.sleep(deployment.CONFIG_PROPAGATION_S + 1.0)

    await flt.faults("store", slow_ms=0.0, lose_replies=2)
    written = await _apply(
        running, _with_max_request_s(doc, 4.0), base.version, "bea"
    )
    assert written.is_ok(), written
    assert written.unwrap().version == base.version + 1
    await flt.wait_version(base.version + 1)
    await flt.faults("store", lose_replies=0)
    running.doc = written.unwrap().doc
    load.stop()
    await load_task

    refused = [
        (vm_id, reply)
        for name, vm_id, sent_s, reply in load.replies
        if name == "kept"
        and reply.status != 200
        and not (vm_id == "e3" and killed_s - 1.0 < sent_s < served_s)
    ]
    assert refused == []
    statuses = {r.status for name, *_, r in load.replies if name == "gone"}
    # e3 gives 0 and 503 while it restarts.
    assert 401 in statuses and statuses <= {0, 401, 503}
    assert len(load.versions) == 4
    for key, versions in load.versions.items():
        assert versions == sorted(versions), key
        assert versions[-1] >= base.version, key
