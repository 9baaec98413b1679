"""Guards against responses whose head broke off and that look complete."""

from support import platform_fleet
from support import raw_upstream

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Bramleyworks-Response-Seal: 1\r\n"
    b"X-Bramleyworks-Attempt-Id: %b\r\nConnection: close\r\n\r\n"
)
BODY = b"whole"


class BreakingUpstream(raw_upstream.RawUpstream):
    """Ends each connection after a given number of bytes of its response."""

    def __init__(self):
        super().__init__()
        self.sent_bytes = None

    async def respond(self, reader, writer):
        request_id = await raw_upstream.read_request_id(reader)
        writer.write((HEAD % request_id + BODY)[: self.sent_bytes])
        await writer.drain()


async def test_head_that_broke_off_is_never_a_success(tmp_path):
    upstream = BreakingUpstream()
    async with upstream.serving(), platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.write_store({"op/config": platform_fleet.config(1)})
        fleet.upstreams["breaking"] = (upstream.address, None)
        await fleet.register("breaking")
        vm = await fleet.add_vm()
        await fleet.wait_for_upstreams(vm, 1)
        for sent_bytes in range(len(HEAD % b"r000000")):
            # Whole responses in between keep the upstream from exclusion.
            upstream.sent_bytes = None
            status, _, body, _ = await fleet.send_request(vm, "/order/1")
            assert (status, body) == (200, BODY)
            upstream.sent_bytes = sent_bytes
            status, _, body, _ = await fleet.send_request(vm, "/order/2")
            assert status == 502, sent_bytes
            assert body != BODY
