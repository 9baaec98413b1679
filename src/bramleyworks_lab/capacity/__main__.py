"""Measures the slopes of all costs that need no other process."""

import sys

import click

from bramleyworks_lab.capacity import registry
from bramleyworks_lab.capacity import row


@click.command()
@click.option("--only", default="", help="Part of the names to measure.")
def main(only: str) -> None:
    """Prints the table of measured slopes."""
    click.echo(row.HEADER)
    for item in registry.ALL:
        if only in item.name:
            click.echo(row.text(row.measure(item, item.sizes)))
            sys.stdout.flush()


if __name__ == "__main__":
    main()
