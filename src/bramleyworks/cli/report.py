"""Formats and prints results for operators."""

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
from bramleyworks.operations import config_finding
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


def print_problems(
    problems: Iterable[problem.Problem | config_finding.Finding],
) -> None:
    """Prints violated rules or findings to standard error."""
    for item in problems:
        click.echo(f"  {item}", err=True)


def print_changes(changes: Iterable[change.Change]) -> None:
    """Prints changes, marked with + (added), - (removed) or ~."""
    marks = {"added": "+", "removed": "-"}
    for item in changes:
        click.echo(f"{marks.get(item.kind, '~')} {item}")


def format_history_entry(entry: history_entry.HistoryEntry) -> str:
    """Returns a history entry as one line."""
    return (
        f"version {entry.version} by {entry.author} at"
        f" {utc_time.format_time(entry.time_s)}: {entry.summary}"
    )


def format_acceptance(progress: acceptance.Acceptance) -> str:
    """Returns the acceptance of a version as one line."""
    if progress.accepted:
        line = (
            f"accepted: version {progress.version} is in force on"
            f" {len(progress.confirmed)} of {len(progress.listed)} listed VMs"
        )
    elif not progress.listed:
        return (
            f"pending: version {progress.version}; no daemon reported the"
            " platform's list of VMs"
        )
    else:
        line = (
            f"pending: version {progress.version} is known to be in force on"
            f" {len(progress.confirmed)} of {len(progress.listed)} listed VMs"
        )
    if progress.missing:
        line += f"; missing: {', '.join(progress.missing)}"
    return line


def format_explanation(
    explanation: explanation_lib.Explanation,
) -> Iterable[str]:
    """Yields the lines that explain a request."""
    req = explanation.request
    yield (
        f"{utc_time.format_time(req['time'])} {req['vm']}: {req['route']} of"
        f" {req['organisation']} to {req['service']}, object"
        f" {req['object'] or '-'}: status {req['status']} after {req['ms']} ms"
    )
    if req["reason"]:
        yield f"  reason: {req['reason']}"
    if "limit" in req:
        yield f"  {_format_limit(req['limit'])}"
    if not req["tried"]:
        yield "  sent to no upstream"
    for number, attempt in enumerate(req["tried"], 1):
        if "vm" in attempt:
            yield (
                f"  attempt {number}: passed on to VM {attempt['vm']},"
                f" {attempt['outcome']} ({attempt['reason']}) after"
                f" {attempt['ms']} ms"
            )
            continue
        factor = attempt.get("work_factor", 1.0)
        busy = f", work factor {factor}" if factor != 1.0 else ""
        held = "held" if attempt["held"] else "not held"
        yield (
            f"  attempt {number}: {attempt['upstream']} {attempt['outcome']}"
            f" ({attempt['reason']}) after {attempt['ms']} ms; load"
            f" {attempt['load']}, object {held}, {attempt['expected_ms']} ms"
            f" expected, {attempt['wait_ms']} ms of it to wait{busy}"
        )
    yield from _format_vm_state(explanation)
    for event in explanation.events:
        yield f"  {_format_age(explanation, event)}: {_format_event(event)}"
    if explanation.dropped_lines:
        yield (
            f"  {explanation.dropped_lines} lines about requests were left out"
        )


def _format_limit(limit: dict) -> str:
    reported = "no report yet"
    if limit["age_s"] is not None:
        reported = f"reports {limit['age_s']} s old"
    return (
        f"limit: {limit['rate_per_s']} requests/s, {limit['demand_per_s']}"
        f" demanded; {limit['level']} left for {limit['vms']} VMs and"
        f" {limit['unreachable']} unreachable, a share of {limit['share']} for"
        f" this VM, {limit['pending']} not reported; others admitted with"
        f" probability {limit['chance']}; {reported}"
    )


def _format_vm_state(explanation: explanation_lib.Explanation) -> Iterable[str]:
    version = explanation.request["config"]
    if explanation.in_force is None:
        yield f"  configuration {version}; when it came into force is not here"
    else:
        yield (
            f"  configuration {version}, in force"
            f" {_format_age(explanation, explanation.in_force)}"
        )
    if explanation.state is None:
        return
    store = "away" if explanation.state["store_away"] else "reached"
    yield (
        f"  {_format_age(explanation, explanation.state)}: store {store}"
        f" at revision {explanation.state['revision']},"
        f" {explanation.state['peers']} peers"
    )
    for item in explanation.upstreams:
        flags = ", excluded" * item.is_excluded + ", cold" * item.is_cold
        yield (
            f"    {item.name}: load {item.load}, {item.own_in_flight} of them"
            f" from this VM, slowness {item.slowness}{flags}"
        )


def _format_age(explanation: explanation_lib.Explanation, event: dict) -> str:
    return f"{explanation.request['time'] - event['time']:.1f} s before"


def _format_event(event: dict) -> str:
    if event["event"] == "process":
        return event["message"]
    fields = (
        f"{name}={value}"
        for name, value in event.items()
        if name not in ("time", "vm", "event")
    )
    return " ".join([event["event"], *fields])
