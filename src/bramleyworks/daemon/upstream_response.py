"""Answers on their way to the caller."""

import aiohttp

from bramleyworks.daemon import headers
from bramleyworks.daemon import request_context

MAX_STORED_BODY_BYTES = 64 * 1024


class UpstreamResponse:
    """Streams an upstream's answer to the caller.

    Attributes:
        status: Status of the answer.
        headers: End-to-end headers of the answer.
        stored: The body if it has at most ``STORED_BODY_BYTES``, else None;
            complete once ``stream`` has returned.
    """

    def __init__(self, response: aiohttp.ClientResponse):
        self._response = response
        self.status = response.status
        self.headers = headers.to_caller(response.raw_headers)
        self.stored_body: bytes | None = b""

    async def stream(
        self, item: request_context.RequestContext, draining: bool
    ) -> None:
        """Sends the whole answer with bounded buffers.

        Raises:
            aiohttp.ClientError: The upstream broke off.
        """
        content = self._response.content
        chunk = await content.readany()
        # The head waits for the first bytes, so that an upstream that fails
        # before them can still be replaced.
        await item.send(self._start_message(item, draining))
        item.progress.response_started = True
        while not content.at_eof():
            self._store(chunk)
            await item.send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
            chunk = await content.readany()
        self._store(chunk)
        self._response.release()
        await item.send({"type": "http.response.body", "body": chunk})

    def _start_message(
        self, item: request_context.RequestContext, draining: bool
    ) -> dict:
        raw = [*self.headers, *item.extra_response_headers]
        raw.append((b"x-request-id", item.request_id.encode()))
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
