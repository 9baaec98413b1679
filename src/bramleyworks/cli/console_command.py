"""The ``console`` command."""

import click

from bramleyworks import errors
from bramleyworks.cli import options
from bramleyworks.cli import store_factory
from bramleyworks.console import console_server


@click.command()
@click.option(
    "--listen",
    metavar="HOST:PORT",
    help="Address to listen on; default 127.0.0.1:8090.",
)
@click.option("--author", help="Name in the history; default: login name.")
@options.connection_options
def console(settings, listen, author):
    """Serves the web console, which has no login of its own."""
    listen = listen or settings.console_listen
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise errors.SettingsError(
            "settings.check", "-", f"{listen!r} is not HOST:PORT"
        )
    url = options.require_store(settings)
    console_server.run(
        host.strip("[]"),
        int(port),
        lambda: store_factory.open_store(url),
        url,
        settings.daemons,
        author or settings.author,
    )
