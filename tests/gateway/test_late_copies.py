"""Guards against a late copy of a response that another caller gets."""

import asyncio
import contextlib

import pytest
from support import platform_fleet
from support import ports

COPIED_BODY = b"of the first"


class CopyingUpstream:
    """Sends its first response again when the second request has arrived."""

    def __init__(self, copies_name_request):
        self.address = f"127.0.0.1:{ports.free_port()}"
        self._copies_name_request = copies_name_request

    @contextlib.asynccontextmanager
    async def serving(self):
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        async with server:
            yield self

    def _response(self, request_id, body, is_named=True):
        fields = [
            b"HTTP/1.1 200 OK",
            b"X-Bramleyworks-Response-Seal: 1",
            b"Content-Length: %d" % len(body),
        ]
        if is_named:
            fields.append(b"X-Bramleyworks-Attempt-Id: " + request_id)
        return b"\r\n".join(fields) + b"\r\n\r\n" + body

    async def _serve(self, reader, writer):
        first_id = None
        with contextlib.suppress(ConnectionError, EOFError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                request_id = next(
                    line.partition(b":")[2].strip()
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"x-bramleyworks-attempt-id:")
                )
                if first_id is None:
                    first_id = request_id
                    writer.write(self._response(request_id, COPIED_BODY))
                    continue
                writer.write(
                    self._response(
                        first_id, COPIED_BODY, self._copies_name_request
                    )
                )
                await asyncio.sleep(0.05)
                writer.write(self._response(request_id, b"own"))
        writer.close()


@pytest.mark.parametrize("copies_name_request", [True, False])
async def test_copy_on_a_reused_connection_reaches_no_caller(
    tmp_path, copies_name_request
):
    upstream = CopyingUpstream(copies_name_request)
    async with upstream.serving(), platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        fleet.upstreams["copying"] = (upstream.address, None)
        await fleet.register("copying")
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 1)
        _, _, first, _ = await fleet.send_request(vm, "/order/1", "POST")
        status, _, second, _ = await fleet.send_request(vm, "/order/2", "POST")
    assert first == COPIED_BODY
    assert second != COPIED_BODY
    if copies_name_request:
        assert (status, second) == (200, b"own")
    else:
        # It may have run, and its response can not be told from the copy.
        assert status == 502
