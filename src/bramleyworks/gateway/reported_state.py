"""Records what upstreams say about themselves in headers of responses."""

from absl import logging

from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import upstream_response
from bramleyworks.platform import header_names
from bramleyworks.platform import wire_decimal
from bramleyworks.platform import wire_load

# Status with which a server refuses a request meant for another one.
MISDIRECTED_STATUS = 421
# Status with which a server may ask for a pause.
OVERLOADED_STATUS = 503
LEAVING_VALUE = b"1"
# Longer remaining times of a cold start are a mistake, as in registrations.
MAX_COLD_DIGITS = 7
# Interval between log lines about malformed loads; an upstream may send them
# with each response.
MALFORMED_LOAD_LOG_S = 10


class ReportedState:
    """Records it in the state of the upstreams and logs what is new."""

    def __init__(self, cluster: cluster_state_module.ClusterState):
        """Initializes the recorder.

        Args:
            cluster: Configuration and upstreams as known to this VM.
        """
        self._cluster = cluster

    async def check_health(
        self,
        upstream: upstream_module.Upstream,
        timeout_s: float = upstream_module.HEALTH_CHECK_TIMEOUT_S,
    ) -> bool:
        """Returns whether an upstream responds to a health check.

        Args:
            upstream: The upstream.
            timeout_s: Time for a connection and the response in seconds.
        """
        res = await upstream.check_health(
            self._cluster.health_path(upstream.instance.service), timeout_s
        )
        if res is None:
            return False
        self.record(res, upstream)
        return True

    def record(
        self,
        res: upstream_response.UpstreamResponse,
        upstream: upstream_module.Upstream,
    ) -> None:
        """Records what a response says about its upstream."""
        upstream.record_response()
        if res.status == MISDIRECTED_STATUS:
            # Another upstream has the address now.
            return
        load = res.get(header_names.UPSTREAM_LOAD)
        if load is not None:
            self._record_load(load, upstream)
        cold_ms = res.get(header_names.COLD_LEFT_MS)
        if (
            cold_ms is not None
            and cold_ms.strip().isdigit()
            and len(cold_ms) <= MAX_COLD_DIGITS
        ):
            upstream.record_cold_time(int(cold_ms) / 1000)
        self._record_rate_limit(res, upstream)
        if res.get(header_names.LEAVING) == LEAVING_VALUE:
            self._cluster.record_leaving(upstream)
        raw_pause = res.get(header_names.RETRY_AFTER)
        if res.status == OVERLOADED_STATUS and raw_pause is not None:
            pause_s = _decode(raw_pause, "pause.decode", upstream)
            if pause_s is not None:
                self._cluster.record_pause(upstream, pause_s)

    def _record_load(
        self, raw: bytes, upstream: upstream_module.Upstream
    ) -> None:
        """Records the load that a response names; logs a malformed one."""
        decoded = wire_load.decode(raw, upstream.instance.id)
        if decoded.is_err():
            self._cluster.registry.malformed_loads += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                "%s",
                MALFORMED_LOAD_LOG_S,
                decoded.unwrap_err(),
            )
            return
        load = decoded.unwrap()
        upstream.record_load(load.running, load.waiting, load.work_factor)

    def _record_rate_limit(
        self,
        res: upstream_response.UpstreamResponse,
        upstream: upstream_module.Upstream,
    ) -> None:
        """Records the limit that a response names, or that it names none."""
        raw = res.get(header_names.RATE_LIMIT)
        if raw is None:
            # A response that something between may have written ends no limit.
            if res.get(header_names.SIGNATURE) is not None:
                self._cluster.record_rate_limit(upstream, None)
            return
        rate_per_s = _decode(raw, "rate_limit.decode", upstream)
        if rate_per_s is not None:
            self._cluster.record_rate_limit(upstream, rate_per_s)


def _decode(
    raw: bytes, step: str, upstream: upstream_module.Upstream
) -> float | None:
    """Decodes a number in a header; a malformed one is logged and ignored."""
    decoded = wire_decimal.decode(raw, step, upstream.instance.id)
    if decoded.is_err():
        logging.warning("%s", decoded.unwrap_err())
        return None
    return decoded.unwrap()
