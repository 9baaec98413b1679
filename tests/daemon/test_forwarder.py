"""Guards against a response that reaches another request."""

import asyncio
import contextlib

import multidict
import pytest

from bramleyworks.daemon import forwarder


class DuplicateResponseUpstream:
    """An upstream that sends each response twice, the second one delayed."""

    def __init__(self, echoes_id, delay_s):
        self.echoes_id = echoes_id
        self.delay_s = delay_s
        self.connections = 0
        self.sends_second = True

    async def handle(self, reader, writer):
        self.connections += 1
        pending = []
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split()[1]
                sent_id = head.split("X-Request-Id: ")[1].split("\r")[0]
                echo = f"X-Request-Id: {sent_id}\r\n" if self.echoes_id else ""
                response = (
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(target)}\r\n"
                    f"{echo}\r\n{target}"
                ).encode()
                writer.write(response)
                if self.sends_second:
                    pending.append(
                        asyncio.ensure_future(
                            self._send_again(writer, response)
                        )
                    )
        for task in pending:
            task.cancel()
        writer.close()

    async def _send_again(self, writer, response):
        await asyncio.sleep(self.delay_s)
        writer.write(response)


@contextlib.asynccontextmanager
async def open_forwarder(upstream):
    server = await asyncio.start_server(upstream.handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    forward = forwarder.Forwarder()
    await forward.open()
    try:
        yield forward, f"http://127.0.0.1:{port}"
    finally:
        await forward.close()
        server.close()


async def send_and_match(forward, url, number):
    target = f"/item/{number}"
    sent = await forward.send(
        "u1",
        url,
        "GET",
        target,
        multidict.CIMultiDict({"X-Request-Id": f"r{number}"}),
        None,
        True,
    )
    if sent.is_err():
        return None
    response = sent.unwrap()
    body = (await response.read()).decode()
    response.release()
    return body == target


@pytest.mark.parametrize("echoes_id", [True, False])
@pytest.mark.parametrize("delay_s", [0.0, 0.003])
async def test_no_request_gets_a_response_to_another(echoes_id, delay_s):
    upstream = DuplicateResponseUpstream(echoes_id, delay_s)
    async with open_forwarder(upstream) as (forward, url):
        for number in range(40):
            assert await send_and_match(forward, url, number) is not False
            await asyncio.sleep(0.002 if number % 2 else 0)


async def test_connection_is_reused_if_the_upstream_echoes_the_id():
    upstream = DuplicateResponseUpstream(True, 0.0)
    upstream.sends_second = False
    async with open_forwarder(upstream) as (forward, url):
        for number in range(10):
            assert await send_and_match(forward, url, number)
    # Until the first response it is unknown whether the upstream echoes the
    # id, so the first connection is not reused.
    assert upstream.connections <= 2
