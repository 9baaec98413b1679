"""Guards the process harness: a leaked child would outlive the tests."""

import asyncio
import os
import pathlib

import pytest
from support import fleet

from bramleyworks.document import document
from bramleyworks.document import region

SUPPORT = pathlib.Path(fleet.__file__).parent


def _is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


async def test_daemon_is_configured_signalled_and_always_ended(tmp_path):
    async with fleet.Fleet(tmp_path, "fake_daemon", python_path=[SUPPORT]) as f:
        await asyncio.gather(f.start_store(), f.start_vm_list())
        vms = [f.add_vm(f"e{i}", "sudo", "a") for i in range(2)]
        assert await f.write_document(document.Document()) == 1
        await f.publish_vms()
        await f.start_daemons()
        await f.wait_version(1)
        doc = document.Document(
            regions=(region.Region(name="sudo", failure_domains=("a",)),)
        )
        await f.faults("store", lose_replies=1)
        assert await f.write_document(doc) == 2
        await f.wait_version(2)
        vms[0].process.pause()
        with pytest.raises(AssertionError, match="e0"):
            await f.wait_version(3, vms[:1], timeout_s=0.2)
        vms[1].process.kill()
        pids = [process.pid for process in f.children.values()]
    assert not any(_is_running(pid) for pid in pids)


async def test_child_that_does_not_start_is_reported_with_its_log(tmp_path):
    async with fleet.Fleet(tmp_path) as f:
        with pytest.raises(AssertionError, match="No such option"):
            await f.start_standin("up", "upstream", colour=1)
