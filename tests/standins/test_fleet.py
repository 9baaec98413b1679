"""Guards against child processes that outlive the tests that started them."""

import asyncio
import pathlib
import subprocess
import sys
import time

import pytest
from support import fleet

from bramleyworks.document import document
from bramleyworks.document import region

SUPPORT = pathlib.Path(fleet.__file__).parent


def _is_running(pid):
    try:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


async def test_daemon_is_configured_signalled_and_always_terminated(tmp_path):
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


async def test_failed_start_is_reported_with_the_log_of_the_child(tmp_path):
    async with fleet.Fleet(tmp_path) as f:
        with pytest.raises(AssertionError, match="No such option"):
            await f.start_standin("up", "upstream", colour=1)


_KILLED_PARENT = """
import os, pathlib, signal, sys
sys.path[:0] = sys.argv[2:]
from support import child
started = child.Child("idle", "asyncio", [], pathlib.Path(sys.argv[1]))
started.pause()
print(started.pid, flush=True)
os.kill(os.getpid(), signal.SIGKILL)
"""


def test_paused_child_is_terminated_when_the_test_run_is_killed(tmp_path):
    done = subprocess.run(
        [sys.executable, "-c", _KILLED_PARENT, tmp_path / "log", *sys.path],
        stdout=subprocess.PIPE,
        timeout=30,
    )
    pid = int(done.stdout)
    end_s = time.monotonic() + 5.0
    while _is_running(pid) and time.monotonic() < end_s:
        time.sleep(0.05)
    assert not _is_running(pid)
