"""Admission control: routing, authentication, quotas and deadlines."""

import math
from collections.abc import Callable

import httptools

from bramleyworks.gateway import cluster_state
from bramleyworks.gateway import gateway_config as gateway_config_module
from bramleyworks.gateway import organisation as organisation_module
from bramleyworks.gateway import proxied_head
from bramleyworks.gateway import quotas as quotas_module
from bramleyworks.gateway import refused
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import request_context
from bramleyworks.gateway import route as route_module
from bramleyworks.gateway import trace as trace_module
from bramleyworks.platform import header_names
from bramleyworks.policy import weighted_round_robin

# Part of a request's deadline that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.01


class Admission:
    """Admits or refuses requests by route, API key, quota and deadline."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        quotas: quotas_module.Quotas,
        clock: Callable[[], float],
    ):
        """Initializes admission control.

        Args:
            cluster: Configuration and upstreams as known to this VM.
            quotas: Rate limits of organisations.
            clock: Monotonic time in seconds.
        """
        self._cluster = cluster
        self._quotas = quotas
        self._clock = clock
        self._round_robins: dict[
            str, weighted_round_robin.WeightedRoundRobin
        ] = {}

    def refund(self, ctx: request_context.RequestContext) -> None:
        """Refunds the quota of an admitted request that did not run."""
        if ctx.organisation is not None and not ctx.is_proxied:
            self._quotas.refund(ctx.organisation.name)

    def admit(
        self,
        req: request_module.Request,
        proxied: proxied_head.ProxiedFields | None,
        trace: trace_module.Trace,
    ) -> request_context.RequestContext:
        """Returns the context of a request that may run.

        Args:
            req: The caller's request.
            proxied: What the VM that passed it on says of it, None if it came
                from a caller.
            trace: Log entry to fill in.

        Raises:
            refused.RefusedError: The request may not run.
        """
        config = self._cluster.config
        if config is None:
            raise refused.RefusedError(
                503, "no configuration is known yet", 0.5
            )
        url = httptools.parse_url(req.target)
        path = url.path.decode("latin-1")
        host = req.get(b"host").decode("latin-1").lower()
        route = gateway_config_module.find_route(config, host, path)
        if route is None:
            raise refused.RefusedError(404, "no route matches")
        trace.route = route.name
        organisation = self._authenticate(req, config, route)
        if organisation is not None:
            trace.organisation = organisation.name
        regions = _allowed_regions(route, organisation)
        client_s = self._client_deadline_s(req, route)
        deadline_s = (
            min(client_s, req.received_s + route.timeout_s) - RESPONSE_MARGIN_S
        )
        if deadline_s <= self._clock():
            raise refused.RefusedError(503, "no time is left")
        if organisation is not None and proxied is None:
            wait_s = self._quotas.admit(organisation)
            if wait_s > 0:
                trace.limit = self._quotas.state(organisation.name)
                raise refused.RefusedError(
                    429, "the organisation's rate is used up", wait_s
                )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        key = req.get(header_names.OBJECT_KEY)
        ctx = request_context.RequestContext(
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
            attempts=(
                min(route.attempts, proxied.attempts)
                if proxied
                else route.attempts
            ),
            is_proxied=proxied is not None,
        )
        trace.service = ctx.service
        trace.object_key = ctx.object_key
        return ctx

    def _authenticate(
        self,
        req: request_module.Request,
        config: gateway_config_module.GatewayConfig,
        route: route_module.Route,
    ) -> organisation_module.Organisation | None:
        if route.is_public or not config.organisations:
            return None
        if req.count(header_names.KEY) > 1:
            raise refused.RefusedError(400, "more than one key")
        key = (req.get(header_names.KEY) or b"").decode("latin-1").strip()
        # An empty key in the configuration admits no caller without a key.
        name = config.organisation_by_key.get(key) if key else None
        if name is None:
            raise refused.RefusedError(401, "the key is unknown")
        return config.organisations[name]

    def _client_deadline_s(
        self, req: request_module.Request, route: route_module.Route
    ) -> float:
        text = req.get(header_names.DEADLINE_MS)
        if text is None:
            return req.received_s + route.timeout_s
        try:
            millis = float(text)
        except ValueError:
            millis = math.nan
        if not math.isfinite(millis):
            raise refused.RefusedError(400, "the deadline is no number")
        return req.received_s + millis / 1000

    def _choose_service(self, route: route_module.Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        key = f"{route.host}{route.prefix}"
        round_robin = self._round_robins.setdefault(
            key, weighted_round_robin.WeightedRoundRobin()
        )
        weights = {entry.service: entry.weight for entry in route.services}
        return round_robin.next(weights) or route.services[0].service


def _allowed_regions(
    route: route_module.Route,
    organisation: organisation_module.Organisation | None,
) -> frozenset[str]:
    """Returns the regions that may serve a request, empty for all.

    Raises:
        refused.RefusedError: Route and organisation share no region.
    """
    if organisation is None or not organisation.regions:
        return route.regions
    if not route.regions:
        return organisation.regions
    common = route.regions & organisation.regions
    if not common:
        raise refused.RefusedError(503, "no region may serve it")
    return common
