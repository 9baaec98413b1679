"""The interfaces that the platform and its callers use beside requests."""

from collections.abc import Callable

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing


def create_readiness_app(
    is_ready: Callable[[], bool],
) -> applications.Starlette:
    """Returns the readiness check.

    Args:
        is_ready: Whether the VM takes callers.
    """

    async def ready(req: requests.Request) -> responses.Response:
        del req
        return responses.Response(status_code=200 if is_ready() else 503)

    return applications.Starlette(routes=[routing.Route("/v1/readyz", ready)])


def create_directory_app(
    look_up: Callable[[str], list[str]], ttl_s: float
) -> applications.Starlette:
    """Returns the look-up of entry VMs.

    Args:
        look_up: Returns the entry addresses for callers of a region.
        ttl_s: Time for which callers may keep an answer.
    """

    async def resolve(req: requests.Request) -> responses.Response:
        addresses = look_up(req.query_params.get("region", ""))
        if not addresses:
            return responses.Response(status_code=503)
        return responses.JSONResponse({"addrs": addresses, "ttl_s": ttl_s})

    return applications.Starlette(
        routes=[routing.Route("/v1/resolve", resolve)]
    )
