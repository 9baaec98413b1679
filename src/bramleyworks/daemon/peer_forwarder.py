"""Forwards requests to the entry VM that issued their ticket."""

import asyncio
import contextlib
import time
from collections.abc import Callable

import aiohttp
import multidict

from bramleyworks import http_fields
from bramleyworks.daemon import identity
from bramleyworks.daemon import request_context
from bramleyworks.daemon import upstream_response
from bramleyworks.policy import ticket_step

CONNECT_TIMEOUT_S = 1.0
# Status of a VM's response when it does not know the ticket.
UNKNOWN_TICKET_STATUS = 502


class PeerForwarder:
    """Owns the connections to other entry VMs.

    Args:
        me: Identity of this process.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        me: identity.Identity,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._me = me
        self._clock = clock
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Opens the HTTP session."""
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
        )
        # A retry by the library could send the request to the issuer twice.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Closes all connections."""
        await self._stack.aclose()

    async def forward(
        self, target: ticket_step.Target, item: request_context.RequestContext
    ) -> bool:
        """Sends a request to another VM and streams its response to the caller.

        Returns:
            False if the VM does not know the ticket; then nothing was sent to
            the caller.

        Raises:
            aiohttp.ClientError: The VM cannot be reached.
            TimeoutError: The deadline has passed.
        """
        outgoing: multidict.CIMultiDict[str] = multidict.CIMultiDict()
        for name, value in item.scope["headers"]:
            if name not in http_fields.HOP_BY_HOP and name != b"host":
                outgoing.add(name.decode("latin-1"), value.decode("latin-1"))
        outgoing["X-Forwarded-By"] = self._me.vm_id
        async with asyncio.timeout(item.deadline_s - self._clock()):
            async with self._session.request(
                item.scope["method"],
                f"http://{target.address}{item.target}",
                headers=outgoing,
                data=item.body.content(),
                allow_redirects=False,
            ) as response:
                if response.status == UNKNOWN_TICKET_STATUS:
                    return False
                relayed = upstream_response.UpstreamResponse(response)
                outcome = response.headers.get("X-Outcome")
                if outcome:
                    relayed.headers.append((b"x-outcome", outcome.encode()))
                await relayed.stream(item, False)
        return True
