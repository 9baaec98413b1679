"""Interfaces for other VMs and for operators' monitoring."""

from collections.abc import Callable
from collections.abc import Mapping

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

COPY_PATH = "/v1/copy"


def create_control_app(
    read_update: Callable[[int], bytes | None],
) -> applications.Starlette:
    """Returns the interface for other VMs.

    Args:
        copy: Returns what this VM's copy of the store holds beyond a
            revision, all for 0; None before it has a copy.
    """

    async def read_copy(req: requests.Request) -> responses.Response:
        after = req.query_params.get("after", "0")
        if not after.isdigit():
            return responses.Response(status_code=400)
        content = read_update(int(after))
        if content is None:
            return responses.Response(status_code=503)
        return responses.Response(content, media_type="application/zlib")

    return applications.Starlette(routes=[routing.Route(COPY_PATH, read_copy)])


def create_metrics_app(text: Callable[[], bytes]) -> applications.Starlette:
    """Returns the metrics in the text format of Prometheus."""

    async def metrics(req: requests.Request) -> responses.Response:
        del req
        return responses.Response(text(), media_type="text/plain")

    return applications.Starlette(routes=[routing.Route("/metrics", metrics)])


class PortDispatcher:
    """Gives each port its own application, all in one server."""

    def __init__(self, apps: Mapping[int, applications.Starlette]):
        """Takes the applications by port."""
        self._apps = apps

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Passes a request on to the application of its port."""
        app = self._apps[scope["server"][1]]
        await app(scope, receive, send)
