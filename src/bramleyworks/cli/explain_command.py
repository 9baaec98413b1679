"""The ``explain`` command."""

import pathlib

import click

from bramleyworks.cli import exit_code
from bramleyworks.cli import log_files
from bramleyworks.cli import report
from bramleyworks.operations import explanation


@click.command()
@click.argument("request_id")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
@click.pass_context
def explain(ctx, request_id, logs):
    """Prints what LOGS, files or folders, say about a request.

    For each VM that logged the request, prints its decision and its view of
    the configuration, the store and the upstreams at that time.
    """
    explanations = explanation.explain(log_files.read(logs), request_id)
    if not explanations:
        click.echo(
            f"no line about {request_id}: it reached no VM whose log is here, "
            "or the line was left out (event log.dropped)"
        )
        ctx.exit(exit_code.ExitCode.UNKNOWN)
    for item in explanations:
        for line in report.format_explanation(item):
            click.echo(line)
