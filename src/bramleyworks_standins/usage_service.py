"""Stand-in for the platform's service for usage: ``python -m ... HOST:PORT``.

``POST /faults`` sets the fault to inject: ``lost`` executes calls and sends no
response, ``late`` also executes them later, ``many`` refuses them with 429.
``GET /status`` returns the calls and the accepted reports.
"""

import asyncio
import sys
import time

import uvicorn
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

LATE_S = 2.0
SILENT_S = 30.0


class UsageApp:
    """HTTP handlers.

    Attributes:
        fault: Name of the injected fault, empty for none.
        token: Highest fencing token seen.
        calls: All executed calls in order.
        reports: Accepted content by window.
        conflicts: Windows for which a second, different report came with a
            valid token.
    """

    def __init__(self):
        self.fault = ""
        self.token = 0
        self.calls: list[dict] = []
        self.reports: dict[str, dict] = {}
        self.conflicts: list[int] = []

    def app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/usage", self.report, methods=["POST"]),
                routing.Route("/faults", self.set_fault, methods=["POST"]),
                routing.Route("/status", self.status),
            ]
        )

    def execute(
        self, holder: str, token: int, body: dict, is_answered: bool = False
    ) -> int:
        """Executes a call and returns its status."""
        window, counts = body["window_id"], body["counts"]
        status = 200
        if token < self.token:
            status = 409
        else:
            self.token = token
            known = self.reports.setdefault(str(window), counts)
            if known != counts:
                self.conflicts.append(window)
        self.calls.append(
            {
                "holder": holder,
                "token": token,
                "window": window,
                "status": status,
                "answered": is_answered,
                "at_s": time.time(),
            }
        )
        return status

    async def report(self, req: requests.Request) -> responses.Response:
        """Accepts or refuses a report."""
        body = await req.json()
        holder = req.headers["X-Bramleyworks-Duty-Holder"]
        token = int(req.headers["X-Bramleyworks-Fence-Token"])
        if self.fault == "many":
            return responses.Response(status_code=429)
        if self.fault == "late":
            asyncio.get_running_loop().call_later(
                LATE_S, self.execute, holder, token, body
            )
            await asyncio.sleep(SILENT_S)
        status = self.execute(holder, token, body, not self.fault)
        if self.fault == "lost":
            await asyncio.sleep(SILENT_S)
        return responses.Response(status_code=status)

    async def set_fault(self, req: requests.Request) -> responses.Response:
        """Sets the fault."""
        self.fault = (await req.body()).decode()
        return responses.Response()

    async def status(self, req: requests.Request) -> responses.Response:
        """Returns calls and reports, for tests."""
        del req
        return responses.JSONResponse(
            {
                "calls": self.calls,
                "reports": self.reports,
                "conflicts": self.conflicts,
            }
        )


def main() -> None:
    """Serves until the process is terminated."""
    host, _, port = sys.argv[1].rpartition(":")
    uvicorn.run(
        UsageApp().app(),
        host=host,
        port=int(port),
        log_level="warning",
        timeout_graceful_shutdown=1,
    )


if __name__ == "__main__":
    main()
