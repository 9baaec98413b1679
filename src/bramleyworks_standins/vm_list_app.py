"""HTTP interface of the stand-in VM list."""

import collections
import time
from collections.abc import Callable
from typing import Literal

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bramleyworks_standins import switches
from bramleyworks_standins import tracked_protocol


class _Vm(msgspec.Struct, forbid_unknown_fields=True):
    id: str
    region: str
    failure_domain: str
    http: str
    peer: str
    state: Literal["live", "leaving"] = "live"


class _Vms(msgspec.Struct, forbid_unknown_fields=True):
    vms: list[_Vm]


class _Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    down: bool = False


class VmListApp:
    """Publishes each change after a fixed lag."""

    def __init__(
        self, lag_s: float, clock: Callable[[], float] = time.monotonic
    ):
        self._lag_s = lag_s
        self._clock = clock
        self._published = _Vms([])
        self._pending: collections.deque[tuple[float, _Vms]] = (
            collections.deque()
        )
        self._faults = switches.Switches(_Faults())

    def app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                self._faults.route(),
                routing.Route("/vms", self._get),
                routing.Route("/vms", self._post, methods=["POST"]),
            ]
        )

    async def _get(self, req: requests.Request) -> responses.Response:
        if self._faults.current.down:
            tracked_protocol.reset(req.scope)
            await tracked_protocol.wait_for_disconnect(req.receive)
            return responses.Response(status_code=500)
        while self._pending and self._pending[0][0] <= self._clock():
            self._published = self._pending.popleft()[1]
        return _json_response(self._published)

    async def _post(self, req: requests.Request) -> responses.Response:
        try:
            vms = msgspec.json.decode(await req.body(), type=_Vms)
        except msgspec.DecodeError as exc:
            return responses.JSONResponse({"error": str(exc)}, 400)
        self._pending.append((self._clock() + self._lag_s, vms))
        return _json_response(vms)


def _json_response(vms: _Vms) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(vms), media_type="application/json"
    )
