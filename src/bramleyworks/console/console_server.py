"""Serving the console over HTTP."""

import click
import uvicorn

from bramleyworks.console import console_app


def run(
    host: str,
    port: int,
    store_factory: console_app.StoreFactory,
    peer: str,
    daemons: tuple[str, ...],
    author: str,
) -> None:
    """Serves the console until the process is interrupted.

    Args:
        host: IP number to listen at.
        port: Port to listen at.
        store_factory: Opens the store.
        peer: Name of the store in errors.
        daemons: Addresses of daemons to ask for their status.
        author: Suggested name of the operator.
    """
    shown = f"[{host}]" if ":" in host else host
    click.echo(f"console at http://{shown}:{port}/")
    uvicorn.run(
        console_app.build(store_factory, peer, daemons, author),
        host=host,
        port=port,
        log_level="warning",
        access_log=False,
        server_header=False,
    )
