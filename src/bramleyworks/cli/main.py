"""The entry point of the command-line tool."""

import click

from bramleyworks import errors
from bramleyworks.cli import apply_command
from bramleyworks.cli import audit_command
from bramleyworks.cli import check_command
from bramleyworks.cli import cli_settings
from bramleyworks.cli import console_command
from bramleyworks.cli import diff_command
from bramleyworks.cli import exit_code
from bramleyworks.cli import explain_command
from bramleyworks.cli import key_command
from bramleyworks.cli import options
from bramleyworks.cli import report
from bramleyworks.cli import status_command
from bramleyworks.cli import validate_command


class _Group(click.Group):
    """Converts the project's errors to messages and exit codes."""

    def invoke(self, ctx: click.Context):
        try:
            return super().invoke(ctx)
        except errors.BramleyworksError as exc:
            report.print_error(exc)
            ctx.exit(exit_code.for_error(exc))
        except KeyboardInterrupt:
            click.echo("interrupted", err=True)
            ctx.exit(exit_code.ExitCode.INTERRUPTED)


@click.group(cls=_Group)
@click.option(
    "--config",
    "path",
    metavar="FILE",
    envvar="BRAMLEYWORKS_CONFIG",
    help="INI file with sections store, daemons, operator and console.",
)
@click.option("--store", "store_url", metavar="URL", help="The store.")
@click.option(
    "--daemon",
    "daemons",
    metavar="ADDRESS",
    multiple=True,
    help="HOST:PORT of a daemon; may be repeated.",
)
@click.pass_context
def cli(ctx, path, store_url, daemons):
    """Controls a bramleyworks deployment through its document."""
    ctx.obj = options.merge(cli_settings.load(path), store_url, daemons)


cli.add_command(validate_command.validate)
cli.add_command(check_command.check)
cli.add_command(diff_command.diff)
cli.add_command(apply_command.apply)
cli.add_command(status_command.status)
cli.add_command(audit_command.audit)
cli.add_command(explain_command.explain)
cli.add_command(key_command.key)
cli.add_command(console_command.console)


def main() -> None:
    """Runs the tool and exits."""
    cli(prog_name="bramleyworks")
