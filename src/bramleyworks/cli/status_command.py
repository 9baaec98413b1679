"""The command that shows what is in force."""

import asyncio
import json

import click

from bramleyworks.cli import exit_code
from bramleyworks.cli import options
from bramleyworks.cli import report
from bramleyworks.cli import store_factory
from bramleyworks.document import utc_time
from bramleyworks.operations import fleet_status


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@options.connection_options
@click.pass_context
def status(ctx, settings, as_json):
    """Prints the configuration, the version moves and the daemons."""
    url = options.require_store(settings)
    found = asyncio.run(_collect(url, settings.daemons))
    if as_json:
        click.echo(json.dumps(fleet_status.as_dict(found), indent=2))
    else:
        _print_status(found)
    for exc in found.failures:
        click.echo(f"error: {exc}", err=True)
    if found.failures:
        ctx.exit(exit_code.for_error(found.failures[0]))


async def _collect(url, daemons):
    async with store_factory.open_store(url) as source:
        return await fleet_status.collect(source, daemons, url)


def _print_status(found):
    if found.stored:
        click.echo(
            f"configuration version {found.stored.version} by"
            f" {found.stored.author} at"
            f" {utc_time.format_time(found.stored.time_s)}"
        )
    elif found.store_read:
        click.echo("no configuration in the store")
    for item in found.moves:
        click.echo(f"move {item}")
    for item in found.daemons:
        click.echo(
            f"daemon {item.address} on VM {item.vm}: version"
            f" {item.config_version}, hears {len(item.members)} members"
        )
    if found.acceptance:
        click.echo(report.format_acceptance(found.acceptance))
