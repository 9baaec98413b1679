"""Command line of the daemon."""

import asyncio
import pathlib
import sys

import click
import uvloop

from bramleyworks.daemon import daemon
from bramleyworks.daemon import logs
from bramleyworks.daemon import settings

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2


@click.command()
@click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="Settings in INI format.",
)
@click.option(
    "--check-config", is_flag=True, help="Check the settings and exit."
)
def main(path: pathlib.Path, check_config: bool) -> None:
    """Runs the daemon of one entry VM until it receives SIGTERM."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        click.echo(f"settings.read: {path}: {exc}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    parsed = settings.parse(text, str(path))
    if parsed.is_err():
        for problem in parsed.unwrap_err():
            click.echo(str(problem), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    cfg = parsed.unwrap()
    if check_config:
        click.echo(f"{path}: the settings are valid")
        return
    logs.configure(cfg.vm_id, cfg.log_level)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(daemon.run(cfg)))
