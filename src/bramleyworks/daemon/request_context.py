"""A request that the daemon is serving."""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

from bramleyworks.daemon import admission
from bramleyworks.daemon import request_body
from bramleyworks.daemon import response_progress


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """An admitted request and its connection to the caller.

    Attributes:
        scope: The ASGI scope.
        receive: ASGI callable that receives messages from the caller.
        send: ASGI callable that sends messages to the caller.
        admission: Route, service and organisation of the request.
        body: Body of the request.
        request_id: Unique id, also sent to the upstream.
        started_s: Monotonic time at which the request arrived.
        deadline_s: Monotonic time at which the request times out.
        extra_response_headers: Headers to add to the response.
        progress: Progress of the response.
    """

    scope: dict
    receive: Callable[[], Awaitable[dict]]
    send: Callable[[dict], Awaitable[None]]
    admission: admission.Admission
    body: request_body.RequestBody
    request_id: str
    started_s: float
    deadline_s: float
    extra_response_headers: tuple[tuple[bytes, bytes], ...] = ()
    progress: response_progress.ResponseProgress = dataclasses.field(
        default_factory=response_progress.ResponseProgress
    )

    @property
    def target(self) -> str:
        """Path and query as the caller sent them."""
        path = self.scope["raw_path"].decode("ascii", "replace")
        query = self.scope["query_string"]
        if not query:
            return path
        return f"{path}?{query.decode('ascii', 'replace')}"


def with_response_header(
    req: RequestContext, name: bytes, value: bytes
) -> RequestContext:
    """Returns a copy with one more header for the response."""
    return dataclasses.replace(
        req, extra_response_headers=(*req.extra_response_headers, (name, value))
    )
