"""The ``key`` commands."""

import click

from bramleyworks.document import new_key


@click.group()
def key():
    """Generates keys for organisations."""


@key.command()
def new():
    """Prints a new random key, which is not stored, and its digest."""
    generated = new_key.make()
    click.echo(f"key    {generated.key}")
    click.echo(f"digest {generated.digest}")
