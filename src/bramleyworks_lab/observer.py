"""Sees every event of an experiment and checks the invariants."""

import collections

from hdrh import histogram

from bramleyworks.document import document
from bramleyworks_lab import model_request
from bramleyworks_lab import rate_meter

MAX_LATENCY_US = 120_000_000
LINK_WINDOW_S = 1.0


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


class Observer:
    """The naive global view that no VM has.

    Attributes:
        latency: Latency of successful requests in microseconds.
        by_organisation: The same by organisation.
        asked: Requests by organisation.
        endings: Requests by organisation and ending.
        wrongful: Requests refused though the organisation was within rate.
        wrongful_rate: Those of them refused for the rate.
        within: Requests that were within their organisation's rate.
        heavy_within: Requests of organisations over their rate that a global
            bucket would admit.
        heavy_admitted: Requests of such organisations that VMs let run.
        over_rate: Most tokens that an organisation overdrew.
        over_shift: Most shifted requests over the cap of a link in 1 s.
        shifted: Requests run in another region than they arrived in.
        starts: Time, route and version of each request sent upstream.
    """

    def __init__(
        self, doc: document.Document, heavy_organisations: frozenset[str]
    ):
        """Prepares the meters.

        Args:
            doc: The document of the experiment.
            over_rate_names: Organisations that send more than their rate. Of
                their single requests nobody can say which are within it, so
                these do not count as refused wrongly.
        """
        self._heavy_organisations = heavy_organisations
        self.latency = _histogram()
        self.latency_by_organisation = {
            o.name: _histogram() for o in doc.organisations
        }
        self.requests: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._offered_meters = {
            o.name: rate_meter.RateMeter(o.rate_per_s, o.burst)
            for o in doc.organisations
        }
        self._admitted_meters = {
            o.name: rate_meter.RateMeter(o.rate_per_s, o.burst)
            for o in doc.organisations
        }
        self._link_caps = {
            (cap.source, cap.target): cap.requests_per_s
            for cap in doc.link_caps
        }
        self._link_times_s: dict[tuple[str, str], collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self.within_rate = 0
        self.heavy_within_rate = 0
        self.heavy_admitted = 0
        self.wrongful_refusals = 0
        self.wrongful_rate_refusals = 0
        self.max_overdraft = 0.0
        self.max_shift_excess = 0.0
        self.shifted = 0
        self.upstream_requests: list[tuple[float, str, str]] = []

    def record_request(
        self, req: model_request.ModelRequest, now_s: float
    ) -> bool:
        """Takes a request; returns whether it is within its rate."""
        self.requests[req.organisation] += 1
        meter = self._offered_meters[req.organisation]
        is_within = meter.has_token(now_s)
        if not is_within:
            return False
        meter.record_event(now_s)
        if req.organisation in self._heavy_organisations:
            self.heavy_within_rate += 1
            return False
        self.within_rate += 1
        return True

    def record_admission(self, organisation: str, now_s: float) -> None:
        """Takes a request that a VM lets run."""
        if organisation in self._heavy_organisations:
            self.heavy_admitted += 1
        meter = self._admitted_meters[organisation]
        meter.record_event(now_s)
        self.max_overdraft = max(self.max_overdraft, meter.overdraft())

    def record_upstream_request(
        self, source: str, target: str, route: str, version: str, now_s: float
    ) -> None:
        """Takes the sending of a request to an upstream."""
        self.upstream_requests.append((now_s, route, version))
        if source == target:
            return
        self.shifted += 1
        times = self._link_times_s[source, target]
        times.append(now_s)
        while times[0] < now_s - LINK_WINDOW_S:
            times.popleft()
        cap = self._link_caps.get((source, target), 0.0)
        self.max_shift_excess = max(self.max_shift_excess, len(times) - cap)

    def record_outcome(
        self,
        req: model_request.ModelRequest,
        outcome: model_request.Outcome,
        is_within: bool,
        now_s: float,
    ) -> None:
        """Takes the end of a request at its caller."""
        self.outcomes[req.organisation, outcome] += 1
        if outcome == "ok":
            spent_us = max(1, int((now_s - req.started_s) * 1e6))
            self.latency.record_value(min(spent_us, MAX_LATENCY_US))
            self.latency_by_organisation[req.organisation].record_value(
                min(spent_us, MAX_LATENCY_US)
            )
        elif outcome != "failed" and is_within:
            self.wrongful_refusals += 1
            self.wrongful_rate_refusals += outcome == "rate"
