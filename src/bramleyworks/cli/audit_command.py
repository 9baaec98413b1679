"""The ``audit`` command."""

import asyncio

import click

from bramleyworks.cli import exit_code
from bramleyworks.cli import options
from bramleyworks.cli import report
from bramleyworks.cli import store_factory
from bramleyworks.document import utc_time
from bramleyworks.operations import audit_view
from bramleyworks.operations import config_writer


@click.command()
@click.option(
    "--limit",
    type=click.IntRange(min=1),
    default=100,
    show_default=True,
    help="Number of newest entries to print.",
)
@click.option("--apply-id", help="Only print whether this apply was written.")
@options.connection_options
@click.pass_context
def audit(ctx, settings, limit, apply_id):
    """Prints the audit trail and the configuration changes, oldest first."""
    url = options.require_store(settings)
    stored, entries = asyncio.run(_read(url, with_entries=apply_id is None))
    if apply_id is not None:
        entry = config_writer.find(stored, apply_id) if stored else None
        if entry is None:
            click.echo(f"apply id {apply_id} is not in the history")
            ctx.exit(exit_code.ExitCode.UNKNOWN)
        click.echo(report.format_history_entry(entry))
        return
    for entry in entries[-limit:]:
        click.echo(
            f"{utc_time.format_time(entry.time_s)} {entry.vm} {entry.kind}"
            f" {entry.subject}: {entry.cause}"
        )


async def _read(url, with_entries):
    async with store_factory.open_store(url) as source:
        read_result = await config_writer.read(source, url)
        if read_result.is_err():
            raise read_result.unwrap_err()
        stored, _ = read_result.unwrap()
        entries = await audit_view.read(source, stored) if with_entries else []
    return stored, entries
