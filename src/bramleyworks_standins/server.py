"""HTTP server and common command line options of the stand-ins."""

import click
import uvicorn

from bramleyworks_standins import tracked_protocol

# Longer than the idle timeout of the project's clients, so that the client
# closes idle connections and no request is sent on a closing connection.
KEEP_ALIVE_S = 60
# Waiting watches and slow runs are ended at most this long after
# SIGTERM.
SHUTDOWN_TIMEOUT_S = 2


def options(command):
    """Adds the options common to all stand-ins."""
    command = click.option("--port", type=int, required=True)(command)
    return click.option("--host", default="127.0.0.1")(command)


def serve(app, host: str, port: int) -> None:
    """Serves until SIGTERM or SIGINT."""
    uvicorn.run(
        app,
        host=host,
        port=port,
        http=tracked_protocol.TrackedProtocol,
        lifespan="off",
        ws="none",
        log_level="warning",
        access_log=False,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
