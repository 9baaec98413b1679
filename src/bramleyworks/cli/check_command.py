"""The ``check`` command."""

import dataclasses
import json
import pathlib

import click

from bramleyworks import errors
from bramleyworks.cli import exit_code
from bramleyworks.cli import report
from bramleyworks.document import change
from bramleyworks.operations import config_check
from bramleyworks.operations import config_diff
from bramleyworks.operations import config_finding
from bramleyworks.platform import config_check as platform_check

_NO_UPSTREAMS = "home regions without upstreams: give --upstreams"
_NO_REGIONS = (
    "home regions without upstreams, except for services without any: give"
    " --regions"
)
_NO_DIFFERENCES = "differences: VMs would reject the configuration"


@dataclasses.dataclass(frozen=True)
class _Report:
    """Result of a check.

    Attributes:
        findings: What is wrong.
        omitted: Checks that were not made, and why.
        changes: Differences from the version in force, None if not computed.
    """

    findings: tuple[config_finding.Finding, ...]
    omitted: tuple[str, ...] = ()
    changes: tuple[change.Change, ...] | None = None


@click.command()
@click.argument("file")
@click.option(
    "--against", metavar="FILE", help="Configuration to compare with."
)
@click.option(
    "--upstreams", metavar="FILE", help="Registrations of upstreams by key."
)
@click.option(
    "--regions",
    metavar="DOMAIN:REGION...",
    callback=lambda ctx, param, value: _parse_regions(value),
    help="Region of each failure domain, as in [vm] regions.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def check(ctx, file, against, upstreams, regions, as_json):
    """Checks the configuration of the users' platform in FILE.

    Uses the decoder of the entry VMs, without network. Prints every finding
    and, with --against, what FILE would change.
    """
    try:
        outcome = _check(file, against, upstreams, regions)
    except errors.DocumentError as exc:
        if not as_json:
            raise
        finding = config_finding.Finding("invalid", exc.peer, exc.reason)
        outcome = _Report((finding,))
    if as_json:
        valid = {"file": file, "valid": not outcome.findings}
        click.echo(json.dumps(valid | dataclasses.asdict(outcome), indent=2))
    else:
        _print(file, outcome)
    if outcome.findings:
        ctx.exit(exit_code.ExitCode.INVALID)


def _check(file, against, upstreams, regions):
    reading = _unwrap(platform_check.read(_load(file), file))
    findings = [*reading.findings, *config_check.find(reading.entries)]
    omitted = []
    if upstreams is None:
        omitted.append(_NO_UPSTREAMS)
    else:
        registered = _unwrap(
            platform_check.read_upstreams(_load(upstreams), upstreams)
        )
        findings += registered.findings
        findings += config_check.find_unserved_regions(
            reading.entries, registered.upstreams, regions
        )
        if regions is None:
            omitted.append(_NO_REGIONS)
    changes = None
    if against is not None:
        current = _read_current(against)
        if reading.config is None:
            omitted.append(_NO_DIFFERENCES)
        else:
            changes = config_diff.changes(current, reading.config)
            findings += config_check.find_ignored_version(
                current, reading.config
            )
    return _Report(tuple(findings), tuple(omitted), changes)


def _read_current(path):
    reading = _unwrap(platform_check.read(_load(path), path))
    if reading.config is None:
        raise errors.DocumentError(
            "config.read", path, f"VMs reject it: {reading.findings[0]}"
        )
    return reading.config


def _load(path):
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as exc:
        reason = getattr(exc, "strerror", None) or str(exc)
        raise errors.DocumentError("config.read", path, reason) from exc


def _unwrap(outcome):
    if outcome.is_err():
        raise outcome.unwrap_err()
    return outcome.unwrap()


def _parse_regions(text):
    if text is None:
        return None
    pairs = [part.split(":") for part in text.split()]
    if not pairs or any(len(pair) != 2 or not all(pair) for pair in pairs):
        raise click.BadParameter("must be DOMAIN:REGION pairs")
    return dict(pairs)


def _print(file, outcome):
    if outcome.findings:
        click.echo(f"error: config.check: {file}: invalid", err=True)
        report.print_problems(outcome.findings)
    else:
        click.echo(f"{file}: valid")
    for text in outcome.omitted:
        click.echo(f"not checked: {text}")
    if outcome.changes is not None:
        report.print_changes(outcome.changes)
        if not outcome.changes:
            click.echo("no change")
