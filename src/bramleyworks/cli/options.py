"""Options that several commands share."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Any

import click

from bramleyworks import errors
from bramleyworks.cli import cli_settings


def connection_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds ``--store`` and ``--daemon`` and passes the merged settings.

    The options may precede or follow the command's name. Those that follow it
    take precedence, and both override the settings file.
    """

    @click.option("--store", "store_url", metavar="URL", help="The store.")
    @click.option(
        "--daemon",
        "daemons",
        metavar="ADDRESS",
        multiple=True,
        help="HOST:PORT of a daemon; may be repeated.",
    )
    @click.pass_obj
    @functools.wraps(command)
    def wrapper(settings, *args, store_url, daemons, **kwargs):
        return command(merge(settings, store_url, daemons), *args, **kwargs)

    return wrapper


def merge(
    settings: cli_settings.CliSettings,
    store_url: str | None,
    daemons: tuple[str, ...],
) -> cli_settings.CliSettings:
    """Returns the settings, overridden by the options that were given."""
    return dataclasses.replace(
        settings,
        store_url=store_url or settings.store_url,
        daemons=daemons or settings.daemons,
    )


def require_store(settings: cli_settings.CliSettings) -> str:
    """Returns the store's URL.

    Raises:
        errors.SettingsError: No URL was given.
    """
    if not settings.store_url:
        raise errors.SettingsError(
            "settings.check", "-", "give --store URL or [store] url"
        )
    return settings.store_url
