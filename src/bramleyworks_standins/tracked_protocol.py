"""An HTTP protocol that lets a stand-in break its own connections."""

import asyncio
import socket
import struct

from uvicorn.protocols.http import httptools_impl

# SO_LINGER switched on with zero seconds makes a close send RST.
_LINGER_RESET = struct.pack("ii", 1, 0)

_transports: dict[tuple[str, int], asyncio.Transport] = {}


class TrackedProtocol(httptools_impl.HttpToolsProtocol):
    """Registers the transport of each connection by the client's address.

    ASGI has no way to close a connection without an answer, so the stand-ins
    need the transport itself.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the transport."""
        super().connection_made(transport)
        _transports[self.client] = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the transport."""
        _transports.pop(self.client, None)
        super().connection_lost(exc)


def get_transport(scope: dict) -> asyncio.Transport | None:
    """Returns the transport of a request, None if it is already closed."""
    return _transports.get(tuple(scope["client"]))


def close(scope: dict) -> None:
    """Closes the request's connection after what was already written."""
    transport = get_transport(scope)
    if transport is not None:
        transport.close()


def reset(scope: dict) -> None:
    """Resets the request's connection at once."""
    transport = get_transport(scope)
    if transport is not None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        transport.abort()


async def wait_for_disconnect(receive) -> None:
    """Waits until the server has noticed that the connection is closed.

    An application that returns earlier makes uvicorn send a 500 answer.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
