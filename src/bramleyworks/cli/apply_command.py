"""The ``apply`` command."""

import asyncio
import secrets
import time

import click

from bramleyworks.cli import document_file
from bramleyworks.cli import exit_code
from bramleyworks.cli import options
from bramleyworks.cli import report
from bramleyworks.cli import store_factory
from bramleyworks.operations import acceptance
from bramleyworks.operations import config_writer


@click.command()
@click.argument("file")
@click.option(
    "--base-version",
    type=click.IntRange(min=0),
    required=True,
    help="Version on which FILE is based, 0 for the first.",
)
@click.option("--author", help="Name in the history; default: login name.")
@click.option(
    "--wait-s",
    type=click.FloatRange(min=0),
    default=30.0,
    show_default=True,
    help="Longest wait for acceptance, in seconds.",
)
@options.connection_options
@click.pass_context
def apply(ctx, settings, file, base_version, author, wait_s):
    """Applies the document in FILE and waits until it is accepted."""
    doc = document_file.load(file)
    url = options.require_store(settings)
    apply_id = secrets.token_hex(16)
    # Printed before the write, so that the operator can look up the outcome
    # with it after an interruption.
    click.echo(f"apply id {apply_id}")
    applied = asyncio.run(
        _write(url, doc, base_version, author or settings.author, apply_id)
    )
    if applied.is_err():
        raise applied.unwrap_err()
    version = applied.unwrap().version
    click.echo(f"written: version {version}")
    if not settings.daemons:
        click.echo(
            f"pending: version {version}; no daemon to ask, give --daemon"
        )
        ctx.exit(exit_code.ExitCode.PENDING)
    progress = asyncio.run(acceptance.wait(version, settings.daemons, wait_s))
    for exc in progress.failures:
        click.echo(f"warning: {exc}", err=True)
    click.echo(report.format_acceptance(progress))
    if not progress.accepted:
        ctx.exit(exit_code.ExitCode.PENDING)


async def _write(url, doc, base_version, author, apply_id):
    async with store_factory.open_store(url) as target:
        return await config_writer.apply(
            target,
            doc,
            base_version,
            author,
            time.time(),
            apply_id,
            peer=url,
        )
