"""Fake daemon that reports only the stored version, to test the harness."""

import configparser

import click
import uvicorn
from starlette import applications
from starlette import responses
from starlette import routing

from bramleyworks.adapters import store_http
from bramleyworks.document import codec


@click.command()
@click.option("--config", required=True)
def main(config):
    parser = configparser.ConfigParser()
    parser.read(config)

    async def status(_):
        async with store_http.HttpStore(parser["store"]["url"]) as kv:
            entry = await kv.get("config")
        version = codec.decode_stored(entry.value).unwrap().version
        return responses.JSONResponse({"config_version": version})

    app = applications.Starlette(routes=[routing.Route("/-/status", status)])
    host, _, port = parser["listen"]["http"].rpartition(":")
    uvicorn.run(app, host=host, port=int(port), lifespan="off")


if __name__ == "__main__":
    main()
