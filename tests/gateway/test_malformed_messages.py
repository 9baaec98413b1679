"""Guards against a message that ends or disables a whole process."""

import asyncio
import socket

import msgspec
import pytest
from support import platform_fleet

from bramleyworks.gateway import heartbeat as heartbeat_module
from bramleyworks.gateway import vm as vm_module


def _heartbeat(peer, **fields):
    vm = vm_module.Vm(
        id="other",
        incarnation=1,
        region="one",
        failure_domain="one-a",
        entry="127.0.0.1:1",
        control="127.0.0.1:2",
        peer=peer,
    )
    values = {
        "sequence": 1,
        "is_ready": True,
        "revision": 0,
        "store_age_s": 0.0,
        "demand": {},
        "usage": {},
        "in_flight": {},
        "moves": {},
    }
    return msgspec.msgpack.encode(
        heartbeat_module.Heartbeat(vm=vm, **values | fields)
    )


def _nested_heartbeat(peer):
    """Returns a heartbeat with one more field, of lists within lists."""
    raw = _heartbeat(peer)
    array_header, count = raw[:1], int.from_bytes(raw[1:3], "big")
    one_item_list = b"\x91"
    return (
        array_header
        + (count + 1).to_bytes(2, "big")
        + raw[3:]
        + one_item_list * 1000
        + b"\xc0"
    )


MESSAGES = {
    "no message": b"\xc1\xff\x00",
    "empty": b"",
    "deeply nested": _nested_heartbeat("127.0.0.1:9"),
    "address without port": _heartbeat("nowhere"),
    "port out of range": _heartbeat("127.0.0.1:99999999"),
    "no address": _heartbeat(""),
    "host name": _heartbeat("no-such-host.example:1"),
    "negative counts": _heartbeat(
        "127.0.0.1:9", usage={"org-one": (-5, -5)}, demand={"desk": -3.0}
    ),
    "endless numbers": _heartbeat(
        "127.0.0.1:9",
        demand={"desk": float("nan")},
        store_age_s=float("inf"),
    ),
}


@pytest.mark.parametrize("name", MESSAGES)
async def test_malformed_heartbeat_does_not_end_the_process(tmp_path, name):
    async with platform_fleet.small_fleet(tmp_path) as fleet:
        vm = fleet.vms[0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(3):
                sock.sendto(MESSAGES[name], (vm.ip, vm.values["peer"]))
                await asyncio.sleep(0.4)
        status, *_ = await fleet.send_request(vm)
        events = vm.events()
    assert status == 200
    assert not [e for e in events if e["event"] in ("task.failed", "stop")]
