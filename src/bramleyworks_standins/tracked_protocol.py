"""HTTP protocol that lets a stand-in close or reset its connections."""

import asyncio
import socket
import struct

from uvicorn.protocols.http import httptools_impl

# SO_LINGER enabled with a timeout of zero makes close() send RST.
_LINGER_RESET = struct.pack("ii", 1, 0)

_transports: dict[tuple[str, int], asyncio.Transport] = {}


class TrackedProtocol(httptools_impl.HttpToolsProtocol):
    """Registers the transport of each connection by the client's address.

    ASGI cannot close a connection without a response, so the stand-ins need
    the transport itself.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the transport."""
        super().connection_made(transport)
        _transports[self.client] = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the transport."""
        _transports.pop(self.client, None)
        super().connection_lost(exc)


def get_transport(scope: dict) -> asyncio.Transport | None:
    """Returns the transport of a request, None if it is closed."""
    return _transports.get(tuple(scope["client"]))


def close(scope: dict) -> None:
    """Closes the request's connection once written data is sent."""
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
    """Waits until the server has detected that the connection is closed.

    If the application returned earlier, uvicorn would send a 500 response.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
