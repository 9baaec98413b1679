"""The HTTP API of the daemon itself."""

from collections.abc import Callable

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bramleyworks.daemon import headers
from bramleyworks.daemon import identity
from bramleyworks.daemon import metrics
from bramleyworks.daemon import refusal
from bramleyworks.policy import block_table
from bramleyworks.policy import entry_selection
from bramleyworks.policy import entry_vm


class Api:
    """Serves entry look-ups, tickets, status and metrics.

    Attributes:
        client_blocks: Table of the client blocks in force.
        app: The ASGI application.
    """

    def __init__(
        self,
        me: identity.Identity,
        candidates: Callable[[], list[entry_vm.EntryVm]],
        status: Callable[[], dict],
        issue: Callable[[bytes], str | refusal.Refusal],
        request_metrics: metrics.Metrics,
    ):
        """Initializes the API.

        Args:
            me: Identity of this VM.
            candidates: Returns the entry VMs that a look-up may return.
            status: Returns the state of this daemon for operators.
            issue: Returns a ticket for the organisation of a key, or a refusal.
            request_metrics: The metrics to export.
        """
        self._me = me
        self._candidates = candidates
        self._status = status
        self._issue = issue
        self._metrics = request_metrics
        self.client_blocks = block_table.build(())
        self.app = applications.Starlette(
            routes=[
                routing.Route("/v1/entry", self._get_entry, methods=["GET"]),
                routing.Route(
                    "/v1/tickets", self._post_ticket, methods=["POST"]
                ),
                routing.Route("/-/status", self._get_status, methods=["GET"]),
                routing.Route("/-/metrics", self._get_metrics, methods=["GET"]),
            ]
        )

    async def _get_entry(self, req: requests.Request) -> responses.Response:
        client = req.query_params.get("client")
        if client is None:
            client = req.client.host if req.client else ""
        try:
            nearest = self.client_blocks.nearest(client)
        except ValueError:
            return _refusal_response(
                refusal.Refusal(
                    400,
                    "not_run",
                    "entry.client",
                    "client must be an IPv4 address",
                )
            )
        chosen = entry_selection.choose(self._candidates(), client, nearest)
        if not chosen:
            return _refusal_response(
                refusal.Refusal(
                    503,
                    "not_run",
                    "entry.choose",
                    "no entry VM is known to be live",
                    retry_after_s=1,
                )
            )
        return responses.JSONResponse(
            {
                "ttl_s": entry_selection.LOOKUP_TTL_S,
                "vms": [
                    {
                        "id": vm.vm_id,
                        "address": vm.address,
                        "region": vm.site.region,
                        "failure_domain": vm.site.failure_domain,
                    }
                    for vm in chosen
                ],
            },
            headers={
                "Cache-Control": f"max-age={entry_selection.LOOKUP_TTL_S}"
            },
        )

    async def _post_ticket(self, req: requests.Request) -> responses.Response:
        presented = headers.presented_keys(req.scope["headers"])
        if len(presented) != 1:
            return _refusal_response(
                refusal.Refusal(
                    401 if not presented else 400,
                    "not_run",
                    "tickets.key",
                    "exactly one key is needed",
                )
            )
        issued = self._issue(presented[0])
        if isinstance(issued, refusal.Refusal):
            return _refusal_response(issued)
        return responses.JSONResponse({"ticket": issued}, status_code=201)

    async def _get_status(self, req: requests.Request) -> responses.Response:
        return responses.JSONResponse(self._status())

    async def _get_metrics(self, req: requests.Request) -> responses.Response:
        return responses.Response(
            self._metrics.render(), media_type="text/plain; version=0.0.4"
        )


def _refusal_response(refused: refusal.Refusal) -> responses.Response:
    return responses.Response(
        refused.body("-"),
        status_code=refused.status,
        headers={
            name.decode(): value.decode()
            for name, value in refused.headers("-")
        },
    )
