"""Records the events of an experiment and checks its invariants."""

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
    """Counts events of the whole deployment, which no single VM sees.

    Attributes:
        latency: Latency of successful requests in microseconds.
        latency_by_organisation: The same by organisation.
        requests: Number of requests by organisation.
        outcomes: Number of requests by organisation and outcome.
        wrongful_refusals: Requests refused although the organisation was within
            its rate.
        wrongful_rate_refusals: Wrongful refusals with the rate as reason.
        within_rate: Requests within the rate of their organisation.
        heavy_within_rate: Requests of heavy organisations that a global token
            bucket would admit.
        heavy_admitted: Requests of heavy organisations that VMs admitted.
        max_overdraft: Most tokens by which an organisation exceeded its bucket.
        max_shift_excess: Most shifted requests above the cap of a link in 1 s.
        shifted: Requests sent to another region than that of the entry VM.
        sent: Time in seconds, route and version of each request sent to an
            upstream.
    """

    def __init__(
        self, doc: document.Document, heavy_organisations: frozenset[str]
    ):
        """Initializes the counters and rate meters.

        Args:
            doc: The document of the experiment.
            heavy_organisations: Organisations that exceed their rate. Which of
                their requests are within the rate is undefined, so their
                refusals never count as wrongful.
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
        self.sent: list[tuple[float, str, str]] = []

    def record_request(
        self, req: model_request.ModelRequest, now_s: float
    ) -> bool:
        """Records a request; returns whether a refusal would be wrongful."""
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
        """Records a request that a VM admitted."""
        if organisation in self._heavy_organisations:
            self.heavy_admitted += 1
        meter = self._admitted_meters[organisation]
        meter.record_event(now_s)
        self.max_overdraft = max(self.max_overdraft, meter.overdraft())

    def record_upstream_request(
        self, source: str, target: str, route: str, version: str, now_s: float
    ) -> None:
        """Records a request that a VM sent to an upstream."""
        self.sent.append((now_s, route, version))
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
        """Records the outcome of a request at its caller."""
        self.outcomes[req.organisation, outcome] += 1
        if outcome == "ok":
            latency_us = max(1, int((now_s - req.started_s) * 1e6))
            self.latency.record_value(min(latency_us, MAX_LATENCY_US))
            self.latency_by_organisation[req.organisation].record_value(
                min(latency_us, MAX_LATENCY_US)
            )
        elif outcome != "failed" and is_within:
            self.wrongful_refusals += 1
            self.wrongful_rate_refusals += outcome == "rate"
