"""Interfaces for other VMs and for operators' monitoring."""

from collections.abc import Callable
from collections.abc import Mapping

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

COPY_PATH = "/v1/copy"


def create_control(
    copy: Callable[[], bytes | None],
) -> applications.Starlette:
    """Returns the interface for other VMs.

    Args:
        copy: Returns this VM's copy of the store, None before it has one.
    """

    async def read_copy(req: requests.Request) -> responses.Response:
        del req
        content = copy()
        if content is None:
            return responses.Response(status_code=503)
        return responses.Response(content, media_type="application/msgpack")

    return applications.Starlette(routes=[routing.Route(COPY_PATH, read_copy)])


def create_metrics(text: Callable[[], bytes]) -> applications.Starlette:
    """Returns the metrics in the text format of Prometheus."""

    async def metrics(req: requests.Request) -> responses.Response:
        del req
        return responses.Response(text(), media_type="text/plain")

    return applications.Starlette(routes=[routing.Route("/metrics", metrics)])


class PortSwitch:
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
