"""Wording of results for operators."""

import functools
from collections.abc import Iterable

import click

from bramleyworks import errors
from bramleyworks.document import change
from bramleyworks.document import history_entry
from bramleyworks.document import problem
from bramleyworks.document import utc_time
from bramleyworks.operations import acceptance
from bramleyworks.operations import apply_errors


@functools.singledispatch
def error(exc: errors.BramleyworksError) -> None:
    """Prints an error with its step and peer to standard error."""
    click.echo(f"error: {exc}", err=True)


@error.register
def _(exc: apply_errors.InvalidDocumentError) -> None:
    click.echo(f"error: {exc}", err=True)
    problems(exc.problems)


@error.register
def _(exc: apply_errors.StaleBaseError) -> None:
    click.echo(f"error: {exc}", err=True)
    click.echo("changes since the base version, newest first:", err=True)
    for entry in exc.entries:
        click.echo(f"  {history(entry)}", err=True)
    if not exc.entries:
        click.echo("  none in the history", err=True)


def problems(found: Iterable[problem.Problem]) -> None:
    """Prints broken rules to standard error."""
    for item in found:
        click.echo(f"  {item}", err=True)


def changes(found: Iterable[change.Change]) -> None:
    """Prints differences, marked with +, - or ~."""
    marks = {"added": "+", "removed": "-"}
    for item in found:
        click.echo(f"{marks.get(item.kind, '~')} {item}")


def history(entry: history_entry.HistoryEntry) -> str:
    """Returns one past change in one line."""
    return (
        f"version {entry.version} by {entry.author} at"
        f" {utc_time.show(entry.time_s)}: {entry.summary}"
    )


def acceptance_line(found: acceptance.Acceptance) -> str:
    """Returns how far a version has come in one line."""
    if found.accepted:
        line = (
            f"accepted: version {found.version} is in force on"
            f" {len(found.confirmed)} of {len(found.listed)} listed VMs"
        )
    elif not found.listed:
        return (
            f"pending: version {found.version}; no daemon reported the"
            " platform's list of VMs"
        )
    else:
        line = (
            f"pending: version {found.version} is known to be in force on"
            f" {len(found.confirmed)} of {len(found.listed)} listed VMs"
        )
    if found.missing:
        line += f"; missing: {', '.join(found.missing)}"
    return line
