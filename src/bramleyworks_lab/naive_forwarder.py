"""Forwarder without policies, the baseline for benchmarks of the gateway.

It uses the same libraries as the gateway.
"""

import contextlib

import aiohttp
import click
import uvicorn
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing


def build(upstream: str) -> applications.Starlette:
    """Returns an application that forwards all requests to one upstream."""

    @contextlib.asynccontextmanager
    async def lifespan(app: applications.Starlette):
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        ) as session:
            app.state.session = session
            yield

    async def forward(req: requests.Request) -> responses.Response:
        body = await req.body()
        async with req.app.state.session.request(
            req.method,
            upstream + req.url.path,
            params=req.query_params,
            headers={
                name: value
                for name, value in req.headers.items()
                if name != "host"
            },
            data=body or None,
        ) as resp:
            return responses.Response(
                await resp.read(),
                status_code=resp.status,
                headers=dict(resp.headers),
            )

    return applications.Starlette(
        routes=[
            routing.Route(
                "/{path:path}", forward, methods=["GET", "POST", "HEAD"]
            )
        ],
        lifespan=lifespan,
    )


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--upstream", required=True, help="Base URL.")
def main(port: int, upstream: str) -> None:
    """Serves until the process is stopped."""
    uvicorn.run(
        build(upstream),
        port=port,
        http="httptools",
        loop="uvloop",
        access_log=False,
        log_level="warning",
        server_header=False,
        date_header=False,
        proxy_headers=False,
    )


if __name__ == "__main__":
    main()
