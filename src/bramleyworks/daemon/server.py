"""The HTTP server, stopped by the daemon's life cycle."""

import contextlib
from collections.abc import Awaitable
from collections.abc import Callable

import uvicorn

KEEPALIVE_S = 30
BACKLOG = 2048


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
                http="httptools",
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                server_header=False,
                date_header=False,
                proxy_headers=False,
                timeout_keep_alive=KEEPALIVE_S,
                backlog=BACKLOG,
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
