"""The ``diff`` command."""

import asyncio

import click

from bramleyworks.cli import document_file
from bramleyworks.cli import options
from bramleyworks.cli import report
from bramleyworks.cli import store_factory
from bramleyworks.document import diff as document_diff
from bramleyworks.document import document
from bramleyworks.document import review_warnings
from bramleyworks.operations import config_writer


@click.command()
@click.argument("file")
@options.connection_options
def diff(settings, file):
    """Prints what FILE would change and the base version for apply."""
    doc = document_file.load(file)
    url = options.require_store(settings)
    stored, _ = asyncio.run(_read(url))
    old = stored.doc if stored else document.Document()
    click.echo(f"base version {stored.version if stored else 0}")
    changes = document_diff.changes(old, doc)
    report.print_changes(changes)
    if not changes:
        click.echo("no change")
    for text in review_warnings.find(old, doc):
        click.echo(f"warning: {text}", err=True)


async def _read(url):
    async with store_factory.open_store(url) as source:
        read_result = await config_writer.read(source, url)
    if read_result.is_err():
        raise read_result.unwrap_err()
    return read_result.unwrap()
