"""The commands for keys."""

import click

from bramleyworks.document import new_key


@click.group()
def key():
    """Makes keys for organisations."""


@key.command()
def new():
    """Prints a new random key, this once, and the digest to configure."""
    made = new_key.make()
    click.echo(f"key    {made.key}")
    click.echo(f"digest {made.digest}")
