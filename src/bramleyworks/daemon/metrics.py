"""Latency histograms and counters of a daemon."""

import prometheus_client
from hdrh import histogram
from prometheus_client import core

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Owns all measured values; read by the metrics endpoint."""

    def __init__(self):
        self._latency_by_service: dict[str, histogram.HdrHistogram] = {}
        self._response_counts: dict[tuple[str, int], int] = {}
        self._refusal_counts: dict[tuple[str, str], int] = {}

    def record_response(
        self, service: str, status: int, latency_s: float
    ) -> None:
        """Records one answer of a service."""
        known = self._latency_by_service.get(service)
        if known is None:
            known = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latency_by_service[service] = known
        known.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))
        key = (service, status)
        self._response_counts[key] = self._response_counts.get(key, 0) + 1

    def record_refusal(self, step: str, organisation: str) -> None:
        """Counts one refusal."""
        key = (step, organisation)
        self._refusal_counts[key] = self._refusal_counts.get(key, 0) + 1

    def collect(self):
        """Yields the metric families of the usual text format."""
        latency = core.SummaryMetricFamily(
            "bramleyworks_latency_seconds",
            "Latency of answers by service.",
            labels=["service"],
        )
        quantile = core.GaugeMetricFamily(
            "bramleyworks_latency_quantile_seconds",
            "Quantiles of the latency since the start.",
            labels=["service", "percent"],
        )
        for service, known in self._latency_by_service.items():
            count = known.get_total_count()
            mean_us = known.get_mean_value() if count else 0.0
            latency.add_metric([service], count, count * mean_us / 1e6)
            for percent in QUANTILES:
                value_us = known.get_value_at_percentile(percent)
                quantile.add_metric([service, str(percent)], value_us / 1e6)
        yield latency
        yield quantile
        answers = core.CounterMetricFamily(
            "bramleyworks_answers",
            "Answers by service and status.",
            labels=["service", "status"],
        )
        for (service, status), count in self._response_counts.items():
            answers.add_metric([service, str(status)], count)
        yield answers
        refusals = core.CounterMetricFamily(
            "bramleyworks_refusals",
            "Refusals by step and organisation.",
            labels=["step", "organisation"],
        )
        for (step, organisation), count in self._refusal_counts.items():
            refusals.add_metric([step, organisation], count)
        yield refusals

    def render(self) -> bytes:
        """Returns all values in the Prometheus text format."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)
