"""Starts the program of an entry VM."""

import asyncio
import os
import signal
import sys

import click
import uvloop

from bramleyworks.gateway import event_log
from bramleyworks.gateway import gateway
from bramleyworks.gateway import process_log
from bramleyworks.gateway import settings

SETTINGS_VARIABLE = "BRAMLEYWORKS_CONFIG"
# Conventional exit status for wrong settings.
EXIT_SETTINGS = 78


@click.command()
@click.option(
    "--config",
    default=lambda: os.environ.get(SETTINGS_VARIABLE, ""),
    help=f"Settings file; by default the one that {SETTINGS_VARIABLE} names.",
)
@click.option("--check-config", is_flag=True, help="Only check the settings.")
def main(config: str, check_config: bool) -> None:
    """Runs an entry VM until SIGTERM."""
    read = settings.read(config)
    if read.is_err():
        for problem in read.unwrap_err():
            click.echo(str(problem), err=True)
        sys.exit(EXIT_SETTINGS)
    if check_config:
        click.echo(f"{config}: correct")
        return
    uvloop.run(_run(config, read.unwrap()))


async def _run(path: str, cfg: settings.Settings) -> None:
    log = event_log.EventLog(cfg.vm_id)
    process_log.set_up(log, cfg.log_level)
    served = gateway.Gateway(cfg, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _reload, path, served, log)
    try:
        await served.run()
    finally:
        log.flush()


def _reload(
    path: str, served: gateway.Gateway, log: event_log.EventLog
) -> None:
    """Reads the settings again; wrong ones leave the last good in force."""
    read = settings.read(path)
    if read.is_err():
        log.write(
            "reload.refused", problems=[str(p) for p in read.unwrap_err()]
        )
        return
    served.reload(read.unwrap())


if __name__ == "__main__":
    main()
