"""Stand-in for an upstream."""

import click

from bramleyworks_standins import server
from bramleyworks_standins import upstream_app
from bramleyworks_standins import upstream_options

_DEFAULTS = upstream_options.UpstreamOptions()


@click.command()
@server.options
@click.option("--name", default=_DEFAULTS.name)
@click.option("--version", default=_DEFAULTS.version)
@click.option("--slots", default=_DEFAULTS.slots)
@click.option(
    "--queue",
    default=_DEFAULTS.queue,
    help="Length of the queue; 0 sheds at once.",
)
@click.option("--mean-ms", default=_DEFAULTS.mean_ms)
@click.option(
    "--distribution",
    type=click.Choice(["fixed", "exponential", "lognormal"]),
    default=_DEFAULTS.distribution,
)
@click.option("--seed", default=_DEFAULTS.seed)
@click.option("--cold-s", default=_DEFAULTS.cold_s)
@click.option("--cold-factor", default=_DEFAULTS.cold_factor)
def main(host: str, port: int, **options) -> None:
    """Serves every path; /-/faults has the fault switches."""
    app = upstream_app.UpstreamApp(upstream_options.UpstreamOptions(**options))
    server.serve(app.app(), host, port)


if __name__ == "__main__":
    main()
