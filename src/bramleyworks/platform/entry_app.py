"""Readiness and look-up endpoints for the platform and its callers."""

from collections.abc import Callable

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing


def create_readiness_app(
    is_ready: Callable[[], bool],
) -> applications.Starlette:
    """Returns the app with the readiness check.

    Args:
        is_ready: Returns whether the VM accepts callers.
    """

    async def ready(req: requests.Request) -> responses.Response:
        del req
        return responses.Response(status_code=200 if is_ready() else 503)

    return applications.Starlette(routes=[routing.Route("/v1/readyz", ready)])


def create_directory_app(
    look_up: Callable[[str], list[str]], ttl_s: float
) -> applications.Starlette:
    """Returns the app that looks up entry VMs.

    Args:
        look_up: Returns the entry addresses for callers of a region.
        ttl_s: Seconds for which callers may cache a response.
    """

    async def resolve(req: requests.Request) -> responses.Response:
        addresses = look_up(req.query_params.get("region", ""))
        if not addresses:
            return responses.Response(status_code=503)
        return responses.JSONResponse({"addrs": addresses, "ttl_s": ttl_s})

    return applications.Starlette(
        routes=[routing.Route("/v1/resolve", resolve)]
    )
