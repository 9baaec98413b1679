"""HTTP client of the platform's store."""

import contextlib
import dataclasses
import time
import urllib.parse
from collections.abc import Callable

import aiohttp
import msgspec

from bramleyworks import errors
from bramleyworks.adapters import http_session
from bramleyworks.adapters import store_entry
from bramleyworks.adapters import store_lease

MAX_VALUE_BYTES = 1_000_000

# The store responds in milliseconds; the freshness limit of 3 s leaves time to
# retry one read after a call that timed out.
TIMEOUT_S = 1.5

_HTTP_OK = 200
_HTTP_NO_CONTENT = 204
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True)
class _Response:
    status: int
    revision: int | None
    body: bytes


class _Token(msgspec.Struct):
    token: int


class HttpStore:
    """Implements ``adapters.store.Store``; an asynchronous context manager.

    Calls are never retried. A write that fails after its request may have
    been sent raises ``errors.StoreUnknownError``; one that certainly had no
    effect raises ``errors.StoreError``.

    Attributes:
        peer: Base URL of the store, as named in errors.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes the client without connecting.

        Args:
            url: Base URL, ``http://IP:PORT``.
            timeout_s: Timeout of one call in seconds; a watch may take its wait
                in addition.
            clock: Monotonic clock in seconds by which leases expire.
        """
        self.peer = url.rstrip("/")
        self._timeout_s = timeout_s
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "HttpStore":
        self._session = await self._stack.enter_async_context(
            http_session.create(self._timeout_s)
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.aclose()

    async def get(self, key: str) -> store_entry.StoreEntry | None:
        """See ``adapters.store.Store.get``."""
        response = await self._read("store.get", _key_path(key))
        if response.status == _HTTP_NOT_FOUND:
            return None
        return self._entry("store.get", key, response)

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> store_entry.StoreEntry | None:
        """See ``adapters.store.Store.watch``."""
        response = await self._read(
            "store.watch",
            _key_path(key),
            params={"after": str(after_revision), "wait_s": f"{wait_s:.3f}"},
            timeout=aiohttp.ClientTimeout(
                total=wait_s + self._timeout_s,
                sock_connect=http_session.CONNECT_TIMEOUT_S,
            ),
        )
        if response.status == _HTTP_NO_CONTENT:
            return None
        return self._entry("store.watch", key, response)

    async def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> store_entry.StoreEntry:
        """See ``adapters.store.Store.put``."""
        step = "store.put"
        if len(value) > MAX_VALUE_BYTES:
            raise errors.StoreError(
                step,
                self.peer,
                f"{key}: {len(value)} bytes exceed the largest size",
            )
        response = await self._write(
            step,
            "PUT",
            _key_path(key),
            data=value,
            headers={"If-Revision": str(expected_revision)},
        )
        if response.status == _HTTP_CONFLICT:
            raise errors.StoreConflictError(
                step,
                self.peer,
                f"{key} has revision {response.revision}, not"
                f" {expected_revision}",
            )
        if response.revision is None:
            raise errors.StoreUnknownError(
                step, self.peer, "the response has no revision"
            )
        return store_entry.StoreEntry(key, bytes(value), response.revision)

    async def acquire_lease(
        self, name: str, holder: str, ttl_s: float
    ) -> store_lease.StoreLease | None:
        """See ``adapters.store.Store.acquire_lease``."""
        step = "store.acquire_lease"
        sent_s = self._clock()
        response = await self._write(
            step,
            "POST",
            _lease_path(name),
            data=msgspec.json.encode({"holder": holder, "ttl_s": ttl_s}),
        )
        if response.status == _HTTP_CONFLICT:
            return None
        try:
            token = msgspec.json.decode(response.body, type=_Token).token
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise errors.StoreUnknownError(step, self.peer, str(exc)) from exc
        return store_lease.StoreLease(name, holder, token, sent_s + ttl_s)

    async def release_lease(self, name: str, holder: str) -> None:
        """See ``adapters.store.Store.release_lease``."""
        await self._write(
            "store.release_lease",
            "DELETE",
            _lease_path(name),
            params={"holder": holder},
        )

    def _entry(
        self, step: str, key: str, response: _Response
    ) -> store_entry.StoreEntry:
        if not response.revision:
            raise errors.StoreError(
                step, self.peer, "the response has no revision"
            )
        return store_entry.StoreEntry(key, response.body, response.revision)

    async def _read(self, step: str, path: str, **kwargs) -> _Response:
        try:
            response = await self._call("GET", path, **kwargs)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise errors.StoreError(step, self.peer, repr(exc)) from exc
        if response.status not in (_HTTP_OK, _HTTP_NO_CONTENT, _HTTP_NOT_FOUND):
            raise errors.StoreError(
                step, self.peer, f"status {response.status}"
            )
        return response

    async def _write(
        self, step: str, method: str, path: str, **kwargs
    ) -> _Response:
        try:
            response = await self._call(method, path, **kwargs)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            # No connection, so no byte of the request was sent.
            raise errors.StoreError(step, self.peer, repr(exc)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise errors.StoreUnknownError(step, self.peer, repr(exc)) from exc
        if response.status in (_HTTP_OK, _HTTP_NO_CONTENT, _HTTP_CONFLICT):
            return response
        if 400 <= response.status < 500:
            raise errors.StoreError(
                step, self.peer, f"status {response.status}"
            )
        raise errors.StoreUnknownError(
            step, self.peer, f"status {response.status}"
        )

    async def _call(self, method: str, path: str, **kwargs) -> _Response:
        async with self._session.request(
            method, self.peer + path, allow_redirects=False, **kwargs
        ) as resp:
            body = await resp.read()
            revision = resp.headers.get("X-Revision", "")
            return _Response(
                resp.status,
                int(revision) if revision.isdecimal() else None,
                body,
            )


def _key_path(key: str) -> str:
    return "/v1/keys/" + urllib.parse.quote(key)


def _lease_path(name: str) -> str:
    return "/v1/leases/" + urllib.parse.quote(name, safe="")
