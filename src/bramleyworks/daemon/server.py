"""HTTP server of the daemon, based on uvicorn."""

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable

import uvicorn
from uvicorn.protocols.http import httptools_impl

from bramleyworks.daemon import refusal

KEEPALIVE_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048


class HttpProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol that reports framing errors as refusals."""

    def send_400_response(self, msg: str) -> None:
        """Refuses malformed HTTP and closes the connection.

        While a request is running on the connection, the connection is aborted
        without a response: the caller would read the refusal as part of the
        running request's response, and its "not run" could be wrong.

        Args:
            msg: Description of the framing error.
        """
        if self.cycle is not None and not self.cycle.response_complete:
            self.transport.abort()
            return
        refused = refusal.Refusal(400, "not_run", "server.framing", msg)
        body = refused.body("-")
        headers = [
            *refused.headers("-"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        self.transport.write(
            b"HTTP/1.1 400 Bad Request\r\n"
            + b"".join(b"%b: %b\r\n" % header for header in headers)
            + b"\r\n"
            + body
        )
        self.transport.close()


class Server(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    def __init__(
        self,
        app: Callable[..., Awaitable[None]],
        address: str,
        create_protocol: Callable[..., asyncio.BaseProtocol] = HttpProtocol,
    ):
        """Initializes the server.

        Args:
            app: The ASGI application.
            address: ``IP:PORT`` to listen on.
            create_protocol: Creates the protocol of a connection.
        """
        host, _, port = address.rpartition(":")
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                http=create_protocol,
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                server_header=False,
                date_header=False,
                proxy_headers=False,
                timeout_keep_alive=KEEPALIVE_TIMEOUT_S,
                backlog=LISTEN_BACKLOG,
            )
        )

    @contextlib.contextmanager
    def capture_signals(self):
        """Overrides uvicorn's signal handlers; installs none."""
        yield

    def stop(self) -> None:
        """Stops accepting connections and exits once all have closed."""
        self.should_exit = True

    def abort(self) -> None:
        """Exits immediately without waiting for connections."""
        self.should_exit = True
        self.force_exit = True
