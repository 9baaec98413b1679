"""One request on its way through the daemon."""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

from bramleyworks.daemon import admission
from bramleyworks.daemon import request_body
from bramleyworks.daemon import response_progress


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """A request that was admitted.

    Attributes:
        scope: The ASGI scope.
        receive: Reads from the caller.
        send: Writes to the caller.
        admission: Why it may run.
        body: Its body.
        request_id: Unique identifier, also sent to the upstream.
        started_s: Monotonic time of its arrival.
        deadline_s: Monotonic time by which it has ended.
        extra_headers: Headers to add to the answer.
        progress: How far the answer has come.
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
    item: RequestContext, name: bytes, value: bytes
) -> RequestContext:
    """Returns the call with one more header for its answer."""
    return dataclasses.replace(
        item, extra_headers=(*item.extra_response_headers, (name, value))
    )
