"""Runs the application of a stand-in."""

import click
import uvicorn

from bramleyworks_standins import tracked_protocol

# Longer than the idle limit of the project's clients, so that it is the client
# that closes an idle connection and a request never meets a closing one.
KEEP_ALIVE_S = 60
# Waiting watches and slow runs end no later than this after SIGTERM.
SHUTDOWN_TIMEOUT_S = 2


def options(command):
    """Adds the options that all stand-ins share."""
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
