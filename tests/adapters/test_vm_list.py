"""Guards against missed changes of the VM list, and against taking a malformed
or unreachable list for an empty one.
"""

import asyncio

import pytest
from support import fleet
from support import ports

from bramleyworks import errors
from bramleyworks.adapters import listed_vm
from bramleyworks.adapters import vm_list


async def test_change_shows_after_the_lag_and_outage_is_an_error(tmp_path):
    async with fleet.Fleet(tmp_path) as flt:
        url = await flt.start_vm_list(lag_s=1.5)
        vm = flt.add_vm("e1", "sudo", "a")
        vm.state = "leaving"
        await flt.publish_vms()
        async with vm_list.VmList(url) as reader:
            assert await reader.read() == ()
            expected = listed_vm.ListedVm(
                "e1", "sudo", "a", vm.http, vm.peer, "leaving"
            )

            async def is_shown():
                return await reader.read() == (expected,)

            await flt.wait_for(is_shown, "the change to show", 5.0)
            await flt.faults("vm_list", down=True)
            with pytest.raises(errors.PlatformError) as caught:
                await reader.read()
            assert caught.value.step == "vm_list.read"
            assert caught.value.peer == url


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b"[]",
        b'{"vms": [{"id": "a"}]}',
        b'{"vms": [{"id": "a", "region": "r", "failure_domain": "f",'
        b' "http": "h", "peer": "p", "state": "gone"}]}',
    ],
)
async def test_malformed_list_is_an_error_not_an_empty_list(body):
    """An empty list would make the whole fleet look removed."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        writer.write(head + body)

    port = ports.free_port()
    async with await asyncio.start_server(respond, "127.0.0.1", port):
        async with vm_list.VmList(f"http://127.0.0.1:{port}") as reader:
            with pytest.raises(errors.PlatformError):
                await reader.read()
