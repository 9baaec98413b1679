"""The ``status`` command."""

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
    fleet = asyncio.run(_collect(url, settings.daemons))
    if as_json:
        click.echo(json.dumps(fleet_status.as_dict(fleet), indent=2))
    else:
        _print_status(fleet)
    for exc in fleet.failures:
        click.echo(f"error: {exc}", err=True)
    if fleet.failures:
        ctx.exit(exit_code.for_error(fleet.failures[0]))


async def _collect(url, daemons):
    async with store_factory.open_store(url) as source:
        return await fleet_status.collect(source, daemons, url)


def _print_status(fleet):
    if fleet.stored:
        click.echo(
            f"configuration version {fleet.stored.version} by"
            f" {fleet.stored.author} at"
            f" {utc_time.format_time(fleet.stored.time_s)}"
        )
    elif fleet.store_read:
        click.echo("no configuration in the store")
    for item in fleet.moves:
        click.echo(f"move {item}")
    for item in fleet.daemons:
        click.echo(
            f"daemon {item.address} on VM {item.vm}: version"
            f" {item.config_version}, hears {len(item.members)} members"
        )
    if fleet.acceptance:
        click.echo(report.format_acceptance(fleet.acceptance))
