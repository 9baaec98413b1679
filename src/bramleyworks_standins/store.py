"""Stand-in for the platform's key-value store."""

import click

from bramleyworks_standins import server
from bramleyworks_standins import store_app


@click.command()
@server.options
def main(host: str, port: int) -> None:
    """Serves an empty store."""
    server.serve(store_app.StoreApp().app(), host, port)


if __name__ == "__main__":
    main()
