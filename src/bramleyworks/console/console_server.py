"""Serves the console over HTTP."""

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
        host: IP address to listen on.
        port: Port to listen on.
        store_factory: Opens the store.
        peer: Name of the store in error messages.
        daemons: Addresses of the daemons whose status is shown.
        author: Default for the operator's name.
    """
    url_host = f"[{host}]" if ":" in host else host
    click.echo(f"console at http://{url_host}:{port}/")
    uvicorn.run(
        console_app.build(store_factory, peer, daemons, author),
        host=host,
        port=port,
        log_level="warning",
        access_log=False,
        server_header=False,
    )
