"""Finds what a request is and whether it may run."""

from collections.abc import Callable

import httptools

from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import gateway_config as gateway_config_module
from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import refused
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context as request_context_module
from bramleyworks.gateway import route as route_module
from bramleyworks.gateway import trace as trace_module
from bramleyworks.platform import header_names
from bramleyworks.policy import weighted_round_robin

# Time of a request that is kept for sending the response.
RESPONSE_MARGIN_S = 0.01


class Admission:
    """Admits requests by route, key, rate and deadline."""

    def __init__(
        self,
        world: cluster_state_module.ClusterState,
        quotas: quotas_module.Quotas,
        clock: Callable[[], float],
    ):
        """Takes the collaborators.

        Args:
            world: What the VM believes.
            quotas: Rates of organisations.
            clock: Monotonic time in seconds.
        """
        self._world = world
        self._quotas = quotas
        self._clock = clock
        self._service_turns: dict[
            str, weighted_round_robin.WeightedRoundRobin
        ] = {}

    def refund(self, plan: request_context_module.RequestContext) -> None:
        """Takes back the rate that a request used which did not run."""
        if plan.organisation is not None:
            self._quotas.refund(plan.organisation.name)

    def admit(
        self, req: request_module.Request, trace: trace_module.Trace
    ) -> request_context_module.RequestContext:
        """Finds what a request is and whether it may run.

        Raises:
            refused.Refused: It may not.
        """
        intent = self._world.config
        if intent is None:
            raise refused.RefusedError(
                503, "no configuration is known yet", 0.5
            )
        url = httptools.parse_url(req.target)
        path = url.path.decode("latin-1")
        host = req.get(b"host").decode("latin-1").lower()
        route = gateway_config_module.find_route(intent, host, path)
        if route is None:
            raise refused.RefusedError(404, "no route matches")
        trace.route = route.name
        organisation = self._authenticate(req, intent, route)
        if organisation is not None:
            trace.organisation = organisation.name
        regions = _allowed_regions(route, organisation)
        client_s = self._client_deadline_s(req, route)
        deadline_s = (
            min(client_s, req.received_s + route.timeout_s) - RESPONSE_MARGIN_S
        )
        if deadline_s <= self._clock():
            raise refused.RefusedError(503, "no time is left")
        if organisation is not None:
            wait_s = self._quotas.admit(organisation)
            if wait_s > 0:
                raise refused.RefusedError(
                    429, "the organisation's rate is used up", wait_s
                )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        key = req.get(header_names.OBJECT_KEY)
        plan = request_context_module.RequestContext(
            route=route,
            service=self._choose_service(route),
            organisation=organisation,
            request_id=req.get(header_names.REQUEST_ID) or b"",
            object_key=(
                f"{route.name}/{key.decode('latin-1')}"
                if key and route.is_sticky
                else ""
            ),
            deadline_s=deadline_s,
            client_deadline_s=client_s,
            objective_s=req.received_s + route.objective_s,
            regions=regions,
            priority=priority,
        )
        trace.service = plan.service
        trace.object_key = plan.object_key
        return plan

    def _authenticate(
        self,
        req: request_module.Request,
        intent: gateway_config_module.GatewayConfig,
        route: route_module.Route,
    ) -> organisation_module.Organisation | None:
        if route.is_public or not intent.organisations:
            return None
        if req.count(header_names.KEY) > 1:
            raise refused.RefusedError(400, "more than one key")
        key = (req.get(header_names.KEY) or b"").decode("latin-1").strip()
        name = intent.organisation_by_key.get(key)
        if name is None:
            raise refused.RefusedError(401, "the key is unknown")
        return intent.organisations[name]

    def _client_deadline_s(
        self, req: request_module.Request, route: route_module.Route
    ) -> float:
        text = req.get(header_names.DEADLINE_MS)
        if text is None:
            return req.received_s + route.timeout_s
        try:
            return req.received_s + float(text) / 1000
        except ValueError:
            raise refused.RefusedError(
                400, "the deadline is no number"
            ) from None

    def _choose_service(self, route: route_module.Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        key = f"{route.host}{route.prefix}"
        turn = self._service_turns.setdefault(
            key, weighted_round_robin.WeightedRoundRobin()
        )
        weights = {part.service: part.weight for part in route.services}
        return turn.next(weights) or route.services[0].service


def _allowed_regions(
    route: route_module.Route,
    organisation: organisation_module.Organisation | None,
) -> frozenset[str]:
    """Returns the regions that may serve a request, none for all.

    Raises:
        refused.Refused: Route and organisation share no region.
    """
    if organisation is None or not organisation.regions:
        return route.regions
    if not route.regions:
        return organisation.regions
    both = route.regions & organisation.regions
    if not both:
        raise refused.RefusedError(503, "no region may serve it")
    return both
