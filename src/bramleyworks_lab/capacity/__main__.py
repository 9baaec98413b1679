"""Command that measures how costs grow with size, in one process."""

import sys

import click

from bramleyworks_lab.capacity import registry
from bramleyworks_lab.capacity import row


@click.command()
@click.option(
    "--only", default="", help="Measure only names that contain this text."
)
def main(only: str) -> None:
    """Prints a Markdown table of the measurements and their fitted lines."""
    click.echo(row.HEADER)
    for item in registry.ALL:
        if only in item.name:
            click.echo(row.text(row.measure(item, item.sizes)))
            sys.stdout.flush()


if __name__ == "__main__":
    main()
