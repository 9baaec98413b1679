"""Responses of upstreams, streamed to the caller."""

import aiohttp

from bramleyworks.daemon import headers
from bramleyworks.daemon import request_context

MAX_STORED_BODY_BYTES = 64 * 1024


class UpstreamResponse:
    """Streams the response of an upstream to the caller.

    Attributes:
        status: HTTP status of the response.
        headers: End-to-end headers of the response.
        stored_body: The body if it has at most ``MAX_STORED_BODY_BYTES``, else
            None; complete once ``stream`` has returned.
    """

    def __init__(self, response: aiohttp.ClientResponse):
        self._response = response
        self.status = response.status
        self.headers = headers.to_caller(response.raw_headers)
        self.stored_body: bytes | None = b""

    async def stream(
        self, req: request_context.RequestContext, draining: bool
    ) -> None:
        """Sends the complete response with bounded buffers.

        Args:
            req: The request.
            draining: Whether to ask the caller to close the connection.

        Raises:
            aiohttp.ClientError: The upstream did not complete the response.
        """
        content = self._response.content
        chunk = await content.readany()
        # The head is sent only after the first bytes of the body, so that the
        # request can still be retried if the upstream fails before them.
        await req.send(self._start_message(req, draining))
        req.progress.response_started = True
        while not content.at_eof():
            self._store(chunk)
            await req.send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
            chunk = await content.readany()
        self._store(chunk)
        self._response.release()
        await req.send({"type": "http.response.body", "body": chunk})

    def _start_message(
        self, req: request_context.RequestContext, draining: bool
    ) -> dict:
        raw = [*self.headers, *req.extra_response_headers]
        raw.append((b"x-request-id", req.request_id.encode()))
        if draining:
            raw.append((b"connection", b"close"))
        return {
            "type": "http.response.start",
            "status": self.status,
            "headers": raw,
        }

    def _store(self, chunk: bytes) -> None:
        if self.stored_body is None:
            return
        if len(self.stored_body) + len(chunk) > MAX_STORED_BODY_BYTES:
            self.stored_body = None
        else:
            self.stored_body += chunk
