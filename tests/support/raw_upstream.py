"""Base of upstreams that send bytes as a faulty server would."""

import asyncio
import contextlib
import re

from support import ports


class RawUpstream:
    """Listens on a loopback address.

    Attributes:
        address: Its address.
    """

    def __init__(self):
        self.address = f"127.0.0.1:{ports.free_port()}"

    @contextlib.asynccontextmanager
    async def serving(self):
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        async with server:
            yield self

    async def respond(self, reader, writer):
        """Serves one connection; replaced by each kind of upstream."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            await self.respond(reader, writer)
        writer.close()


async def read_request_id(reader):
    """Reads the head of a request and returns its id."""
    head = await reader.readuntil(b"\r\n\r\n")
    return re.search(rb"(?i)attempt-id: *(\S+)", head).group(1)
