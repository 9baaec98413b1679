"""Sees every event of an experiment and checks the invariants."""

import collections

from hdrh import histogram

from bramleyworks.document import document
from bramleyworks_lab import model_request
from bramleyworks_lab import rate_meter

HIGHEST_US = 120_000_000
WINDOW_S = 1.0


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_US, 3)


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

    def __init__(self, doc: document.Document, over_rate_names: frozenset[str]):
        """Prepares the meters.

        Args:
            doc: The document of the experiment.
            over_rate_names: Organisations that send more than their rate. Of
                their single requests nobody can say which are within it, so
                these do not count as refused wrongly.
        """
        self._over_rate_names = over_rate_names
        self.latency = _histogram()
        self.by_organisation = {o.name: _histogram() for o in doc.organisations}
        self.asked: collections.Counter[str] = collections.Counter()
        self.endings: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._offered = {
            o.name: rate_meter.RateMeter(o.rate_per_s, o.burst)
            for o in doc.organisations
        }
        self._admitted = {
            o.name: rate_meter.RateMeter(o.rate_per_s, o.burst)
            for o in doc.organisations
        }
        self._caps = {
            (cap.source, cap.target): cap.requests_per_s
            for cap in doc.link_caps
        }
        self._links: dict[tuple[str, str], collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self.within = 0
        self.heavy_within = 0
        self.heavy_admitted = 0
        self.wrongful = 0
        self.wrongful_rate = 0
        self.over_rate = 0.0
        self.over_shift = 0.0
        self.shifted = 0
        self.starts: list[tuple[float, str, str]] = []

    def offer(self, req: model_request.ModelRequest, now_s: float) -> bool:
        """Takes a request; returns whether it is within its rate."""
        self.asked[req.organisation] += 1
        meter = self._offered[req.organisation]
        is_within = meter.fits(now_s)
        if not is_within:
            return False
        meter.take(now_s)
        if req.organisation in self._over_rate_names:
            self.heavy_within += 1
            return False
        self.within += 1
        return True

    def admit(self, organisation: str, now_s: float) -> None:
        """Takes a request that a VM lets run."""
        if organisation in self._over_rate_names:
            self.heavy_admitted += 1
        meter = self._admitted[organisation]
        meter.take(now_s)
        self.over_rate = max(self.over_rate, meter.overdraft())

    def send(
        self, source: str, target: str, route: str, version: str, now_s: float
    ) -> None:
        """Takes the sending of a request to an upstream."""
        self.starts.append((now_s, route, version))
        if source == target:
            return
        self.shifted += 1
        times = self._links[source, target]
        times.append(now_s)
        while times[0] < now_s - WINDOW_S:
            times.popleft()
        cap = self._caps.get((source, target), 0.0)
        self.over_shift = max(self.over_shift, len(times) - cap)

    def end(
        self,
        req: model_request.ModelRequest,
        ending: model_request.Ending,
        is_within: bool,
        now_s: float,
    ) -> None:
        """Takes the end of a request at its caller."""
        self.endings[req.organisation, ending] += 1
        if ending == "ok":
            spent_us = max(1, int((now_s - req.started_s) * 1e6))
            self.latency.record_value(min(spent_us, HIGHEST_US))
            self.by_organisation[req.organisation].record_value(
                min(spent_us, HIGHEST_US)
            )
        elif ending != "failed" and is_within:
            self.wrongful += 1
            self.wrongful_rate += ending == "rate"
