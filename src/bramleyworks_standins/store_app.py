"""HTTP interface of the stand-in store.

Keys: ``GET /v1/keys/KEY`` returns the value with its revision in the header
``X-Revision``, or 404. With ``after=REVISION&wait_s=S`` it waits for a newer
revision and returns 204 if there is none. ``PUT`` requires ``If-Revision`` (0
for a new key) and returns 409 if the key has another revision.

Leases: ``POST /v1/leases/NAME`` with ``{"holder", "ttl_s"}`` returns
``{"token"}``, the fencing token, or 409.
``DELETE /v1/leases/NAME?holder=H`` releases the lease.

A 4xx response means that the call had no effect.
"""

import asyncio
import collections
import time

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bramleyworks_standins import rate_limiter
from bramleyworks_standins import store_data
from bramleyworks_standins import store_faults
from bramleyworks_standins import switches
from bramleyworks_standins import tracked_protocol

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0


class _LeaseRequest(msgspec.Struct):
    holder: str
    ttl_s: float


class StoreApp:
    """HTTP handlers that count the calls and apply the fault switches."""

    def __init__(self):
        self._data = store_data.StoreData()
        self._counts = collections.Counter()
        self._waiting_watches = 0
        self._write_limiter = rate_limiter.RateLimiter()
        self._read_limiter = rate_limiter.RateLimiter()
        self._faults = switches.Switches(
            store_faults.StoreFaults(), self._apply_faults
        )

    def app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                self._faults.route(),
                routing.Route("/-/counts", self._get_counts),
                routing.Route("/v1/keys/{key:path}", self._get),
                routing.Route(
                    "/v1/keys/{key:path}", self._put, methods=["PUT"]
                ),
                routing.Route(
                    "/v1/leases/{name}", self._acquire, methods=["POST"]
                ),
                routing.Route(
                    "/v1/leases/{name}", self._release, methods=["DELETE"]
                ),
            ]
        )

    def _apply_faults(self, faults: store_faults.StoreFaults) -> None:
        self._write_limiter.set_rate(faults.writes_per_s)
        self._read_limiter.set_rate(faults.reads_per_s)
        self._data.wake()

    async def _get_counts(self, _: requests.Request) -> responses.Response:
        kinds = ("get", "put", "watch", "lease", "release", "limited", "down")
        counts = {kind: self._counts[kind] for kind in kinds}
        counts["lost_replies"] = self._counts["lost_replies"]
        counts["waiting_watches"] = self._waiting_watches
        return responses.JSONResponse(counts)

    async def _admit(self, req, kind, limiter) -> responses.Response | None:
        """Counts a call; returns a response if a fault switch rejects it."""
        self._counts[kind] += 1
        if self._faults.current.slow_ms:
            await asyncio.sleep(self._faults.current.slow_ms / 1000)
        if self._faults.current.down:
            self._counts["down"] += 1
            return await self._reset_connection(req)
        if not limiter.try_acquire():
            self._counts["limited"] += 1
            return responses.JSONResponse({"error": "too many calls"}, 429)
        return None

    async def _reset_connection(
        self, req: requests.Request
    ) -> responses.Response:
        tracked_protocol.reset(req.scope)
        await tracked_protocol.wait_for_disconnect(req.receive)
        return responses.Response(status_code=500)

    async def _respond_to_write(self, req, response) -> responses.Response:
        replies_to_lose = self._faults.current.lose_replies
        if not replies_to_lose:
            return response
        # Does not use set(), which would wake the watches as if a test had
        # changed the switches.
        self._faults.current = msgspec.structs.replace(
            self._faults.current, lose_replies=replies_to_lose - 1
        )
        self._counts["lost_replies"] += 1
        return await self._reset_connection(req)

    async def _get(self, req: requests.Request) -> responses.Response:
        if "after" in req.query_params:
            return await self._watch(req)
        rejection = await self._admit(req, "get", self._read_limiter)
        return rejection or self._entry_response(req.path_params["key"])

    def _entry_response(self, key: str) -> responses.Response:
        value, revision = self._data.entries.get(key, (b"", 0))
        return responses.Response(
            value,
            200 if revision else 404,
            {"X-Revision": str(revision)},
            "application/octet-stream",
        )

    async def _watch(self, req: requests.Request) -> responses.Response:
        try:
            after = int(req.query_params["after"])
            wait_s = float(req.query_params.get("wait_s", "0"))
        except ValueError as exc:
            return responses.JSONResponse({"error": str(exc)}, 400)
        rejection = await self._admit(req, "watch", self._read_limiter)
        if rejection:
            return rejection
        key = req.path_params["key"]
        end_s = time.monotonic() + min(wait_s, MAX_WAIT_S)
        disconnected = asyncio.create_task(
            tracked_protocol.wait_for_disconnect(req.receive)
        )
        self._waiting_watches += 1
        try:
            while self._data.revision_of(key) <= after:
                changed = asyncio.create_task(self._data.changed.wait())
                await asyncio.wait(
                    {changed, disconnected},
                    timeout=max(0.0, end_s - time.monotonic()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                changed.cancel()
                if disconnected.done() or time.monotonic() >= end_s:
                    break
                if self._faults.current.down:
                    break
        finally:
            self._waiting_watches -= 1
            disconnected.cancel()
        if self._faults.current.down:
            self._counts["down"] += 1
            return await self._reset_connection(req)
        if self._data.revision_of(key) > after:
            return self._entry_response(key)
        return responses.Response(
            status_code=204,
            headers={"X-Revision": str(self._data.revision_of(key))},
        )

    async def _put(self, req: requests.Request) -> responses.Response:
        try:
            expected = int(req.headers["if-revision"])
        except (KeyError, ValueError):
            return responses.JSONResponse({"error": "no If-Revision"}, 400)
        value = bytearray()
        async for chunk in req.stream():
            value += chunk
            if len(value) > MAX_VALUE_BYTES:
                return responses.JSONResponse({"error": "too long"}, 413)
        rejection = await self._admit(req, "put", self._write_limiter)
        if rejection:
            return rejection
        key = req.path_params["key"]
        revision = self._data.put(key, bytes(value), expected)
        if revision is None:
            return responses.JSONResponse(
                {"error": "another revision"},
                409,
                {"X-Revision": str(self._data.revision_of(key))},
            )
        return await self._respond_to_write(
            req, responses.Response(headers={"X-Revision": str(revision)})
        )

    async def _acquire(self, req: requests.Request) -> responses.Response:
        try:
            lease_req = msgspec.json.decode(
                await req.body(), type=_LeaseRequest
            )
        except msgspec.DecodeError as exc:
            return responses.JSONResponse({"error": str(exc)}, 400)
        rejection = await self._admit(req, "lease", self._write_limiter)
        if rejection:
            return rejection
        token = self._data.acquire(
            req.path_params["name"], lease_req.holder, lease_req.ttl_s
        )
        if token is None:
            return responses.JSONResponse({"error": "held by another"}, 409)
        return await self._respond_to_write(
            req, responses.JSONResponse({"token": token})
        )

    async def _release(self, req: requests.Request) -> responses.Response:
        rejection = await self._admit(req, "release", self._write_limiter)
        if rejection:
            return rejection
        self._data.release(
            req.path_params["name"], req.query_params.get("holder", "")
        )
        return await self._respond_to_write(
            req, responses.Response(status_code=204)
        )
