"""Sends requests to upstreams."""

import contextlib
from collections.abc import AsyncIterable

import aiohttp
import multidict
import result
import yarl

from bramleyworks.daemon import forward_failure
from bramleyworks.daemon import upstream_connector

CONNECT_TIMEOUT_S = 2.0
READ_BUFFER_BYTES = 64 * 1024
KEEPALIVE_S = 15.0
NOT_RUN_HEADER = "X-Not-Run"
REQUEST_ID_HEADER = "X-Request-Id"

ForwardResult = result.Result[
    aiohttp.ClientResponse, forward_failure.ForwardFailure
]


class Forwarder:
    """Owns the connections to the upstreams."""

    def __init__(self):
        self._exit_stack = contextlib.AsyncExitStack()
        self._pooled_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None
        # Upstreams whose latest response echoed the request id. Only their
        # connections are reused, because only there can a late response to an
        # earlier request be detected.
        self._echoes_request_id: set[str] = set()

    async def open(self) -> None:
        """Opens the connection pools."""
        self._pooled_session = await self._open_session(
            upstream_connector.UpstreamConnector(
                limit=0, keepalive_timeout=KEEPALIVE_S
            )
        )
        self._single_use_session = await self._open_session(
            aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def _open_session(
        self, connector: aiohttp.TCPConnector
    ) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        # aiohttp retries PUT and DELETE after a lost connection, which could
        # run a non-idempotent request twice.
        session._retry_connection = False
        return await self._exit_stack.enter_async_context(session)

    async def close(self) -> None:
        """Closes all connections."""
        await self._exit_stack.aclose()

    async def send(
        self,
        upstream: str,
        base_url: str,
        method: str,
        target: str,
        headers: multidict.CIMultiDict[str],
        body: bytes | AsyncIterable[bytes] | None,
        idempotent: bool,
    ) -> ForwardResult:
        """Sends one request and waits for the head of the response.

        The calling code sets the timeout and closes or releases the response.
        If this coroutine is cancelled, the connection is closed and not reused.

        Args:
            upstream: Name of the upstream.
            base_url: Base URL of the upstream.
            method: HTTP method.
            target: Path and query as the caller sent them.
            headers: End-to-end headers.
            body: The body, None for none.
            idempotent: Whether a pooled connection may be used. If the
                upstream closes a pooled connection at the same time, it is
                unknown whether it ran the request.

        Returns:
            The response, whose body is still to be read, or the failure.
        """
        is_pooled = idempotent and upstream in self._echoes_request_id
        session = (
            self._pooled_session if is_pooled else self._single_use_session
        )
        url = yarl.URL(base_url + target, encoded=True)
        try:
            response = await session.request(
                method, url, headers=headers, data=body, allow_redirects=False
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as exc:
            return _failure(upstream, exc, not_run=True)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return _failure(upstream, exc, not_run=False)
        return self._check_response(upstream, headers, response, is_pooled)

    def _check_response(
        self,
        upstream: str,
        headers: multidict.CIMultiDict[str],
        response: aiohttp.ClientResponse,
        is_pooled: bool,
    ) -> ForwardResult:
        """Rejects load-shedding responses and responses to other requests."""
        sent_id = headers.get(REQUEST_ID_HEADER)
        received_id = response.headers.get(REQUEST_ID_HEADER)
        if received_id == sent_id:
            self._echoes_request_id.add(upstream)
        else:
            self._echoes_request_id.discard(upstream)
            if is_pooled or received_id is not None:
                response.close()
                return _mismatch_failure(upstream)
        if (
            response.status == 503
            and response.headers.get(NOT_RUN_HEADER) == "1"
        ):
            response.release()
            return result.Err(
                forward_failure.ForwardFailure(
                    True, upstream, "the upstream shed the request", shed=True
                )
            )
        return result.Ok(response)


def _mismatch_failure(upstream: str) -> ForwardResult:
    return result.Err(
        forward_failure.ForwardFailure(
            False, upstream, "the answer belongs to another request"
        )
    )


def _failure(upstream: str, exc: BaseException, not_run: bool) -> ForwardResult:
    reason = f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__
    return result.Err(forward_failure.ForwardFailure(not_run, upstream, reason))
