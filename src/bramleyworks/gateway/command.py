"""Command line of an entry VM."""

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
# EX_CONFIG of sysexits.h: invalid settings.
EXIT_SETTINGS = 78


@click.command()
@click.option(
    "--config",
    default=lambda: os.environ.get(SETTINGS_VARIABLE, ""),
    help=f"Settings file; the default is the value of {SETTINGS_VARIABLE}.",
)
@click.option("--check-config", is_flag=True, help="Only check the settings.")
def main(config: str, check_config: bool) -> None:
    """Runs an entry VM until SIGTERM."""
    loaded = settings.read(config)
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            click.echo(str(problem), err=True)
        sys.exit(EXIT_SETTINGS)
    if check_config:
        click.echo(f"{config}: correct")
        return
    uvloop.run(_run(config, loaded.unwrap()))


async def _run(path: str, cfg: settings.Settings) -> None:
    log = event_log.EventLog(cfg.vm_id)
    process_log.set_up(log, cfg.log_level)
    entry_vm = gateway.Gateway(cfg, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _reload, path, entry_vm, log)
    # One that has arrived since the start is handled now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await entry_vm.run()
    finally:
        log.flush()


def _reload(
    path: str, entry_vm: gateway.Gateway, log: event_log.EventLog
) -> None:
    """Reloads the settings; invalid ones leave the last valid in force."""
    loaded = settings.read(path)
    if loaded.is_err():
        log.write(
            "reload.refused", problems=[str(p) for p in loaded.unwrap_err()]
        )
        return
    entry_vm.reload(loaded.unwrap())
