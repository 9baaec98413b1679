"""The ``validate`` command."""

import asyncio
import time

import click

from bramleyworks.cli import document_file
from bramleyworks.cli import exit_code
from bramleyworks.cli import options
from bramleyworks.cli import report
from bramleyworks.cli import store_factory
from bramleyworks.document import validation
from bramleyworks.operations import config_writer


@click.command()
@click.argument("file")
@options.connection_options
@click.pass_context
def validate(ctx, settings, file):
    """Checks the document in FILE and prints every problem.

    With a store, the moves in the document in force are taken into account.
    """
    doc = document_file.load(file)
    previous = None
    if settings.store_url:
        read_result = asyncio.run(_read(settings.store_url))
        if read_result.is_err():
            click.echo(
                f"warning: {read_result.unwrap_err()}; checked without the"
                " document in force",
                err=True,
            )
        else:
            stored, _ = read_result.unwrap()
            previous = stored.doc if stored else None
    problems = validation.check(doc, time.time(), previous)
    if problems:
        click.echo(f"error: document.validate: {file}: invalid", err=True)
        report.print_problems(problems)
        ctx.exit(exit_code.ExitCode.INVALID)
    click.echo(f"{file}: valid")


async def _read(url):
    async with store_factory.open_store(url) as source:
        return await config_writer.read(source, url)
