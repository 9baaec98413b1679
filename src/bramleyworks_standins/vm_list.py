"""Stand-in for the platform's list of VMs."""

import click

from bramleyworks_standins import server
from bramleyworks_standins import vm_list_app


@click.command()
@server.options
@click.option(
    "--lag-s",
    type=float,
    default=0.5,
    help="Seconds until a change is visible.",
)
def main(host: str, port: int, lag_s: float) -> None:
    """Serves a list that is empty until POST /vms."""
    server.serve(vm_list_app.VmListApp(lag_s).app(), host, port)


if __name__ == "__main__":
    main()
