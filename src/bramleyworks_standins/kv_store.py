"""Stand-in for the platform's store: ``python -m ... HOST:PORT``.

In addition to the published interface, ``POST /operator`` writes the items of
operators and upstreams, and ``POST /faults`` sets the faults to inject.
"""

import asyncio
import dataclasses
import sys

import uvicorn
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bramleyworks_standins import kv_data

MAX_PAGE_ITEMS = 500
POLL_INTERVAL_S = 0.01
SILENT_DELAY_S = 30.0


class KvApp:
    """HTTP handlers of the published interface.

    Attributes:
        data: Items, leases and history.
        calls: Calls of the published interface since the start.
        faults: Injected faults by client address; ``"*"`` matches all.
    """

    def __init__(self):
        self.data = kv_data.KvData()
        self.calls = 0
        self.faults: dict[str, str] = {}

    def app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        route = routing.Route
        return applications.Starlette(
            routes=[
                route("/v1/kv-key", self._with_faults(self.get_item)),
                route("/v1/kv-range", self._with_faults(self.list_items)),
                route("/v1/kv-watch", self._with_faults(self.watch)),
                route(
                    "/v1/kv-txn", self._with_faults(self.txn), methods=["POST"]
                ),
                route(
                    "/v1/kv-lease",
                    self._with_faults(self.grant_lease),
                    methods=["POST"],
                ),
                route(
                    "/v1/kv-keep/{id:int}",
                    self._with_faults(self.renew_lease),
                    methods=["POST"],
                ),
                route(
                    "/v1/kv-lease-end/{id:int}",
                    self._with_faults(self.revoke_lease),
                    methods=["DELETE"],
                ),
                route("/operator", self.operator, methods=["POST"]),
                route("/faults", self.set_faults, methods=["POST"]),
                route("/status", self.status),
            ]
        )

    def _with_faults(self, handle):
        async def handle_in_era(
            req: requests.Request,
        ) -> responses.Response:
            response = await handle_with_faults(req)
            response.headers["Store-Era"] = str(self.data.era)
            return response

        async def handle_with_faults(
            req: requests.Request,
        ) -> responses.Response:
            self.calls += 1
            self.data.expire_leases()
            host = req.client.host if req.client else ""
            fault = self.faults.get(host) or self.faults.get("*")
            if fault == "busy":
                return responses.Response(status_code=503)
            if fault == "many":
                return responses.Response(status_code=429)
            if fault == "silent":
                await asyncio.sleep(SILENT_DELAY_S)
            if fault == "lost" and req.method != "GET":
                await handle(req)
                await asyncio.sleep(SILENT_DELAY_S)
            return await handle(req)

        return handle_in_era

    async def get_item(self, req: requests.Request) -> responses.Response:
        """Reads one item."""
        row = self.data.rows.get(req.query_params["key"])
        if row is None:
            return responses.Response(status_code=404)
        body = dataclasses.asdict(row) | {"as_of": self.data.revision}
        return responses.JSONResponse(body)

    async def list_items(self, req: requests.Request) -> responses.Response:
        """Reads a page of items."""
        prefix = req.query_params.get("prefix", "")
        after = req.query_params.get("after", "")
        rows = sorted(
            (r for k, r in self.data.rows.items() if k.startswith(prefix)),
            key=lambda row: row.key,
        )
        rows = [row for row in rows if row.key > after]
        page = rows[:MAX_PAGE_ITEMS]
        return responses.JSONResponse(
            {
                "items": [dataclasses.asdict(row) for row in page],
                "has_more": len(rows) > len(page),
                "as_of": self.data.revision,
            }
        )

    async def watch(self, req: requests.Request) -> responses.Response:
        """Waits for changes; 410 if they were compacted."""
        query = req.query_params
        end_s = asyncio.get_running_loop().time() + (
            int(query.get("wait_ms", "0")) / 1000
        )
        era = self.data.era
        while True:
            self.data.expire_leases()
            if self.data.era != era:
                return responses.Response(status_code=410)
            events = self.data.changes_since(
                query["prefix"], int(query["after"])
            )
            if events is None:
                return responses.Response(status_code=410)
            if events or asyncio.get_running_loop().time() >= end_s:
                return responses.JSONResponse(
                    {"events": events, "as_of": self.data.revision}
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def txn(self, req: requests.Request) -> responses.Response:
        """Runs a compare-and-swap on items that the system may write."""
        body = await req.json()
        keys = [item["key"] for item in body.get("puts") or []]
        keys += body.get("remove") or []
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return responses.Response(status_code=403)
        status, result = self.data.txn(body)
        return responses.JSONResponse(result, status_code=status)

    async def grant_lease(self, req: requests.Request) -> responses.Response:
        """Grants a lease."""
        ttl_ms = (await req.json())["ttl_ms"]
        granted = self.data.grant_lease(ttl_ms / 1000)
        return responses.JSONResponse({"lease_id": granted, "ttl_ms": ttl_ms})

    async def renew_lease(self, req: requests.Request) -> responses.Response:
        """Renews a lease."""
        if not self.data.renew_lease(req.path_params["id"]):
            return responses.Response(status_code=404)
        return responses.JSONResponse({})

    async def revoke_lease(self, req: requests.Request) -> responses.Response:
        """Revokes a lease."""
        self.data.revoke_lease(req.path_params["id"])
        return responses.JSONResponse({})

    async def operator(self, req: requests.Request) -> responses.Response:
        """Writes and removes items, also those the system may not write."""
        body = await req.json()
        for key, value in (body.get("puts") or {}).items():
            self.data.put(key, value)
        for key in body.get("remove") or []:
            self.data.remove(key)
        return responses.JSONResponse({"rev": self.data.revision})

    async def set_faults(self, req: requests.Request) -> responses.Response:
        """Replaces the faults.

        ``compact`` drops the history of changes, ``copy`` saves a copy of the
        store, and ``restore`` goes back to it.
        """
        body = await req.json()
        self.faults = body.get("faults") or {}
        if body.get("copy"):
            self.data.save_copy()
        if body.get("restore"):
            self.data.restore()
        if body.get("compact"):
            self.data.compact()
        return responses.JSONResponse({})

    async def status(self, req: requests.Request) -> responses.Response:
        """Returns the items and the number of calls, for tests."""
        del req
        rows = {k: r.value for k, r in self.data.rows.items()}
        return responses.JSONResponse(
            {"rows": rows, "calls": self.calls, "rev": self.data.revision}
        )


def main() -> None:
    """Serves until the process is terminated."""
    host, _, port = sys.argv[1].rpartition(":")
    uvicorn.run(
        KvApp().app(),
        host=host,
        port=int(port),
        log_level="warning",
        timeout_graceful_shutdown=1,
    )


if __name__ == "__main__":
    main()
