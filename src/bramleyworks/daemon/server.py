"""The HTTP server, stopped by the daemon's life cycle."""

import contextlib
from collections.abc import Awaitable
from collections.abc import Callable

import uvicorn
from uvicorn.protocols.http import httptools_impl

from bramleyworks.daemon import refusal

KEEPALIVE_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048


class HttpProtocol(httptools_impl.HttpToolsProtocol):
    """An HTTP protocol that refuses bad framing like any other bad input."""

    def send_400_response(self, msg: str) -> None:
        """Refuses bytes that are no HTTP request and closes the connection.

        While a request of this connection runs nothing is written: the text
        would land in its answer, and "not run" could be false for it.

        Args:
            msg: What was wrong.
        """
        if self.cycle is not None and not self.cycle.response_complete:
            self.transport.abort()
            return
        refused = refusal.Refusal(400, "not_run", "server.framing", msg)
        body = refused.body("-")
        head = [
            *refused.headers("-"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        self.transport.write(
            b"HTTP/1.1 400 Bad Request\r\n"
            + b"".join(b"%b: %b\r\n" % item for item in head)
            + b"\r\n"
            + body
        )
        self.transport.close()


class Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    def __init__(self, app: Callable[..., Awaitable[None]], address: str):
        """Prepares a server.

        Args:
            app: The ASGI application.
            address: ``IP:PORT`` to listen on.
        """
        host, _, port = address.rpartition(":")
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                http=HttpProtocol,
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
        """Installs no handlers."""
        yield

    def stop(self) -> None:
        """Accepts no more connections and ends when the last one has."""
        self.should_exit = True

    def abort(self) -> None:
        """Ends at once."""
        self.should_exit = True
        self.force_exit = True
