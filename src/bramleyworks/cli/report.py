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
from bramleyworks.operations import explanation as explanation_lib


@functools.singledispatch
def print_error(exc: errors.BramleyworksError) -> None:
    """Prints an error with its step and peer to standard error."""
    click.echo(f"error: {exc}", err=True)


@print_error.register
def _(exc: apply_errors.InvalidDocumentError) -> None:
    click.echo(f"error: {exc}", err=True)
    print_problems(exc.problems)


@print_error.register
def _(exc: apply_errors.StaleBaseError) -> None:
    click.echo(f"error: {exc}", err=True)
    click.echo("changes since the base version, newest first:", err=True)
    for entry in exc.entries:
        click.echo(f"  {format_history_entry(entry)}", err=True)
    if not exc.entries:
        click.echo("  none in the history", err=True)


def print_problems(found: Iterable[problem.Problem]) -> None:
    """Prints broken rules to standard error."""
    for item in found:
        click.echo(f"  {item}", err=True)


def print_changes(found: Iterable[change.Change]) -> None:
    """Prints differences, marked with +, - or ~."""
    marks = {"added": "+", "removed": "-"}
    for item in found:
        click.echo(f"{marks.get(item.kind, '~')} {item}")


def format_history_entry(entry: history_entry.HistoryEntry) -> str:
    """Returns one past change in one line."""
    return (
        f"version {entry.version} by {entry.author} at"
        f" {utc_time.format_time(entry.time_s)}: {entry.summary}"
    )


def format_acceptance(found: acceptance.Acceptance) -> str:
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


def format_explanation(found: explanation_lib.Explanation) -> Iterable[str]:
    """Yields what is known about a request, line by line."""
    req = found.request
    yield (
        f"{utc_time.format_time(req['time'])} {req['vm']}: {req['route']} of"
        f" {req['organisation']} to {req['service']}, object"
        f" {req['object'] or '-'}: status {req['status']} after {req['ms']} ms"
    )
    if req["reason"]:
        yield f"  reason: {req['reason']}"
    if not req["tried"]:
        yield "  sent to no upstream"
    for number, attempt in enumerate(req["tried"], 1):
        held = "held" if attempt["held"] else "not held"
        yield (
            f"  attempt {number}: {attempt['upstream']} {attempt['outcome']}"
            f" ({attempt['reason']}) after {attempt['ms']} ms; load"
            f" {attempt['load']}, object {held}, {attempt['expected_ms']} ms"
            f" expected, {attempt['wait_ms']} ms of it to wait"
        )
    yield from _format_vm_state(found)
    for event in found.events:
        yield f"  {_format_age(found, event)}: {_format_event(event)}"
    if found.dropped_lines:
        yield f"  {found.dropped_lines} lines about requests were left out"


def _format_vm_state(found: explanation_lib.Explanation) -> Iterable[str]:
    version = found.request["config"]
    if found.in_force is None:
        yield f"  configuration {version}; when it came into force is not here"
    else:
        yield (
            f"  configuration {version}, in force {_format_age(found, found.in_force)}"
        )
    if found.state is None:
        return
    store = "away" if found.state["store_away"] else "reached"
    yield (
        f"  {_format_age(found, found.state)}: store {store} at revision"
        f" {found.state['revision']}, {found.state['peers']} peers"
    )
    for item in found.upstreams:
        notes = ", excluded" * item.is_excluded + ", cold" * item.is_cold
        yield (
            f"    {item.name}: load {item.load}, {item.own_in_flight} of them"
            f" from this VM, slowness {item.slowness}{notes}"
        )


def _format_age(found: explanation_lib.Explanation, event: dict) -> str:
    return f"{found.request['time'] - event['time']:.1f} s before"


def _format_event(event: dict) -> str:
    if event["event"] == "process":
        return event["message"]
    fields = (
        f"{name}={value}"
        for name, value in event.items()
        if name not in ("time", "vm", "event")
    )
    return " ".join([event["event"], *fields])
