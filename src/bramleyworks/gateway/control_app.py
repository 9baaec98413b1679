"""HTTP interfaces for other VMs and for monitoring."""

from collections.abc import Callable
from collections.abc import Mapping

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from bramleyworks.gateway import usage_message
from bramleyworks.platform import kv_position

COPY_PATH = "/v1/copy"


async def _read_body(req: requests.Request, max_bytes: int) -> bytes | None:
    """Returns the body of a request, None if it is too long."""
    body = bytearray()
    async for chunk in req.stream():
        body += chunk
        if len(body) > max_bytes:
            return None
    return bytes(body)


def create_control_app(
    read_update: Callable[[kv_position.Position], bytes | None],
    receive_usage: Callable[[bytes, str], bytes | None] | None = None,
) -> applications.Starlette:
    """Creates the interface for other VMs.

    Args:
        read_update: Returns an encoded update of the store replica from a
            given position, a snapshot for revision 0; None before the replica
            has data.
        receive_usage: Merges the counts of a VM at an address and returns the
            response, None if it refuses them; None where there is no such duty.
    """

    async def get_update(req: requests.Request) -> responses.Response:
        after = req.query_params.get("after", "0")
        era = req.query_params.get("era", "0")
        if not (after.isdecimal() and era.isdecimal()):
            return responses.Response(status_code=400)
        content = read_update(kv_position.Position(int(era), int(after)))
        if content is None:
            return responses.Response(status_code=503)
        return responses.Response(content, media_type="application/zlib")

    async def post_usage(req: requests.Request) -> responses.Response:
        body = await _read_body(req, usage_message.MAX_BYTES)
        host = req.client.host if req.client else ""
        reply = receive_usage(body, host) if body is not None else None
        if reply is None:
            return responses.Response(status_code=400)
        return responses.Response(reply)

    routes = [routing.Route(COPY_PATH, get_update)]
    if receive_usage is not None:
        routes.append(
            routing.Route(
                usage_message.USAGE_PATH, post_usage, methods=["POST"]
            )
        )
    return applications.Starlette(routes=routes)


def create_metrics_app(text: Callable[[], bytes]) -> applications.Starlette:
    """Creates the interface that serves metrics in Prometheus text format."""

    async def metrics(req: requests.Request) -> responses.Response:
        del req
        return responses.Response(text(), media_type="text/plain")

    return applications.Starlette(routes=[routing.Route("/metrics", metrics)])


class PortDispatcher:
    """Serves a different application on each port of one server."""

    def __init__(self, apps: Mapping[int, applications.Starlette]):
        """Initializes the dispatcher with the applications by port."""
        self._apps = apps

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Dispatches a request to the application of its port."""
        app = self._apps[scope["server"][1]]
        await app(scope, receive, send)
