"""HTTP interface of the stand-in upstream.

``GET /documents/NAME?bytes=N`` streams N bytes. Every other path responds with
JSON that names the upstream and echoes the request, so that a caller can check
whether a response belongs to its own request.
"""

import asyncio
import contextlib
import hashlib
import random
import time
from collections.abc import Iterable

import msgspec
from starlette import applications
from starlette import datastructures
from starlette import requests
from starlette import responses
from starlette import routing

from bramleyworks_standins import fault_plan
from bramleyworks_standins import health_view
from bramleyworks_standins import pattern
from bramleyworks_standins import run_record
from bramleyworks_standins import service_time
from bramleyworks_standins import slot_pool
from bramleyworks_standins import switches
from bramleyworks_standins import tracked_protocol
from bramleyworks_standins import upstream_faults
from bramleyworks_standins import upstream_options

DOCUMENTS_PREFIX = "/documents/"

# A run that starts later than this after a drain violates invariant I11 of the
# design page.
DRAIN_GRACE_S = 3.0

_STALE_BODY = b'{"stale": true}'


class _Drain(msgspec.Struct, forbid_unknown_fields=True):
    draining: bool = True
    refuse: bool = False


class UpstreamApp:
    """Runs requests in slots and injects the faults that are enabled."""

    def __init__(self, options: upstream_options.UpstreamOptions):
        self._options = options
        self._pool = slot_pool.SlotPool(options.slots, options.queue)
        self._service_time = service_time.ServiceTime(options)
        self._rng = random.Random(options.seed + 1)
        self._record = run_record.RunRecord()
        self._drain = _Drain(draining=False)
        self._drained_s = 0.0
        self._health = health_view.HealthView(self._health_state)
        self._faults = switches.Switches(
            upstream_faults.UpstreamFaults(), self._health.on_faults_change
        )

    def app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                self._faults.route(),
                routing.Route("/-/health", self._get_health),
                routing.Route("/-/runs", self._get_runs),
                routing.Route("/-/drain", self._post_drain, methods=["POST"]),
                routing.Mount("/", app=self._serve),
            ]
        )

    def _health_state(self) -> dict:
        return {
            "status": "draining" if self._drain.draining else "ok",
            "busy": self._pool.busy,
            "slots": self._pool.slots,
            "version": self._options.version,
        }

    async def _get_health(self, _: requests.Request) -> responses.Response:
        if self._faults.current.health == "error":
            return responses.JSONResponse({"error": "switched on"}, 500)
        return responses.JSONResponse(self._health.report(self._faults.current))

    async def _get_runs(self, _: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                **self._record.as_dict(),
                "max_busy": self._pool.max_busy,
                "max_waiting": self._pool.max_waiting,
            }
        )

    async def _post_drain(self, req: requests.Request) -> responses.Response:
        try:
            drain = msgspec.json.decode(await req.body() or b"{}", type=_Drain)
        except msgspec.DecodeError as exc:
            return responses.JSONResponse({"error": str(exc)}, 400)
        if drain.draining and not self._drain.draining:
            self._drained_s = time.monotonic()
        self._drain = drain
        self._health.record_state(self._faults.current)
        return responses.JSONResponse(msgspec.to_builtins(drain))

    async def _serve(self, scope, receive, send) -> None:
        """Serves one request as an ASGI application.

        Needs the plain ASGI interface to cancel the run when the caller
        disconnects.
        """
        headers = datastructures.Headers(scope=scope)
        self._record.record_request(headers)
        body = hashlib.sha256()
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self._record.counts["incomplete"] += 1
                return
            body.update(message.get("body", b""))
            size += len(message.get("body", b""))
            if not message.get("more_body"):
                break
        echo = {"bytes": size, "sha256": body.hexdigest()}
        run = asyncio.create_task(self._run(scope, headers, echo, send))
        disconnected = asyncio.create_task(receive())
        await asyncio.wait(
            {run, disconnected}, return_when=asyncio.FIRST_COMPLETED
        )
        disconnected.cancel()
        if not run.done():
            run.cancel()
            self._record.counts["cancelled"] += 1
            with contextlib.suppress(asyncio.CancelledError):
                await run
            return
        plan = run.result()
        if plan.resets or plan.truncates:
            await tracked_protocol.wait_for_disconnect(receive)
        elif plan.sends_extra:
            await asyncio.sleep(plan.extra_delay_ms / 1000)
            transport = tracked_protocol.get_transport(scope)
            if transport is not None and not transport.is_closing():
                transport.write(
                    _stale_response(self._request_id_header(headers))
                )

    async def _run(self, scope, headers, echo, send) -> fault_plan.FaultPlan:
        deadline_s = _parse_deadline_s(headers)
        if self._drain.draining and self._drain.refuse:
            return await self._reject("draining", headers, send)
        if not await self._pool.acquire(_remaining_s(deadline_s)):
            return await self._reject("no free slot", headers, send)
        with contextlib.ExitStack() as slot:
            slot.callback(self._release_slot)
            if _remaining_s(deadline_s) == 0.0:
                slot.close()
                return await self._reject(
                    "deadline passed", headers, send, "past_deadline"
                )
            return await self._run_in_slot(
                scope, headers, echo, send, slot, deadline_s
            )

    async def _run_in_slot(
        self, scope, headers, echo, send, slot, deadline_s
    ) -> fault_plan.FaultPlan:
        self._record.record_run(headers)
        if (
            self._drain.draining
            and time.monotonic() > self._drained_s + DRAIN_GRACE_S
        ):
            self._record.counts["runs_after_drain"] += 1
        self._health.record_state(self._faults.current)
        plan = fault_plan.draw(
            self._faults.current,
            scope["path"],
            self._pool.busy,
            time.monotonic() - self._faults.changed_s,
            self._rng,
        )
        service_time_s = self._service_time.draw_s() * plan.slow_factor
        remaining_s = _remaining_s(deadline_s)
        if remaining_s is not None and remaining_s < service_time_s:
            await asyncio.sleep(remaining_s)
            self._record.counts["past_deadline"] += 1
            slot.close()
            await _send_json(
                send,
                504,
                {"error": "deadline passed"},
                self._request_id_header(headers),
            )
            return fault_plan.FaultPlan()
        await asyncio.sleep(service_time_s)
        if plan.resets:
            slot.close()
            tracked_protocol.reset(scope)
            return plan
        if plan.response_delay_ms:
            slot.close()
            await asyncio.sleep(plan.response_delay_ms / 1000)
        await self._send_run_response(scope, headers, echo, send, slot, plan)
        return plan

    async def _send_run_response(
        self, scope, headers, echo, send, slot, plan
    ) -> None:
        path = scope["path"]
        if plan.fails:
            size, parts = _encode_json({"error": "switched on"})
        elif path.startswith(DOCUMENTS_PREFIX) and scope["method"] == "GET":
            query = datastructures.QueryParams(scope["query_string"])
            size_text = query.get("bytes", "")
            size = int(size_text) if size_text.isdecimal() else 0
            parts = pattern.chunks(path.removeprefix(DOCUMENTS_PREFIX), size)
        else:
            size, parts = _encode_json(
                {
                    "upstream": self._options.name,
                    "version": self._options.version,
                    "method": scope["method"],
                    "path": path,
                    "query": scope["query_string"].decode("latin-1"),
                    "request_id": headers.get("x-request-id"),
                    "organisation": headers.get("x-organisation"),
                    "ticket": headers.get("idempotency-key"),
                    **echo,
                }
            )
        await _send_head(
            send,
            500 if plan.fails else 200,
            size,
            self._request_id_header(headers),
        )
        unsent_bytes = size // 2 if plan.truncates else size
        for part in parts:
            part = part[:unsent_bytes]
            unsent_bytes -= len(part)
            if not unsent_bytes:
                # The caller may use the slot again once it has received the
                # last byte.
                slot.close()
            await _send_part(send, part)
            if not unsent_bytes:
                break
        if plan.truncates:
            tracked_protocol.close(scope)
            return
        slot.close()
        await send({"type": "http.response.body", "body": b""})

    def _request_id_header(self, headers) -> tuple[tuple[bytes, bytes], ...]:
        """Returns the header with the id of the request, if it is enabled."""
        request_id = headers.get("x-request-id")
        if request_id is None or not self._faults.current.echo_id:
            return ()
        return ((b"x-request-id", request_id.encode("latin-1")),)

    def _release_slot(self) -> None:
        self._pool.release()
        self._health.record_state(self._faults.current)

    async def _reject(
        self, reason: str, headers, send, count: str = "shed"
    ) -> fault_plan.FaultPlan:
        self._record.counts[count] += 1
        await _send_json(
            send,
            503,
            {"error": reason},
            ((b"x-not-run", b"1"), *self._request_id_header(headers)),
        )
        return fault_plan.FaultPlan()


def _parse_deadline_s(headers) -> float | None:
    text = headers.get("x-deadline-ms", "")
    if not text.isdecimal():
        return None
    return time.monotonic() + int(text) / 1000


def _remaining_s(deadline_s: float | None) -> float | None:
    if deadline_s is None:
        return None
    return max(0.0, deadline_s - time.monotonic())


def _stale_response(id_headers: tuple[tuple[bytes, bytes], ...]) -> bytes:
    head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    for name, value in (
        *id_headers,
        (b"content-length", b"%d" % len(_STALE_BODY)),
    ):
        head += name + b": " + value + b"\r\n"
    return head + b"\r\n" + _STALE_BODY


def _encode_json(content: dict) -> tuple[int, Iterable[bytes]]:
    data = msgspec.json.encode(content)
    return len(data), (data,)


async def _send_head(
    send, status: int, size: int, headers=(), kind=b"application/json"
) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", kind),
                (b"content-length", b"%d" % size),
                *headers,
            ],
        }
    )


async def _send_part(send, part: bytes) -> None:
    await send({"type": "http.response.body", "body": part, "more_body": True})


async def _send_json(send, status: int, content: dict, headers=()) -> None:
    size, parts = _encode_json(content)
    await _send_head(send, status, size, headers)
    for part in parts:
        await send({"type": "http.response.body", "body": part})
