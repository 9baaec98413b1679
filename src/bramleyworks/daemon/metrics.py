"""Latency histograms and counters of a daemon."""

from collections.abc import Callable
from collections.abc import Iterable

import prometheus_client
from hdrh import histogram
from prometheus_client import core

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Records latencies, responses and refusals for the metrics endpoint."""

    def __init__(self):
        self._latency_by_service: dict[str, histogram.HdrHistogram] = {}
        self._response_counts: dict[tuple[str, int], int] = {}
        self._refusal_counts: dict[tuple[str, str], int] = {}
        self._collectors: list[Callable[[], Iterable]] = []
        self._load_shed_counts: dict[tuple[str, int], int] = {}
        self._pressures: dict[str, float] = {}

    def record_response(
        self, service: str, status: int, latency_s: float
    ) -> None:
        """Records one response of a service."""
        latencies = self._latency_by_service.get(service)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latency_by_service[service] = latencies
        latencies.record_value(
            min(MAX_LATENCY_US, max(1, int(latency_s * 1e6)))
        )
        key = (service, status)
        self._response_counts[key] = self._response_counts.get(key, 0) + 1

    def add_collector(self, collect: Callable[[], Iterable]) -> None:
        """Adds a source of metric families that others keep."""
        self._collectors.append(collect)

    def record_refusal(self, step: str, organisation: str) -> None:
        """Records one refused request."""
        key = (step, organisation)
        self._refusal_counts[key] = self._refusal_counts.get(key, 0) + 1

    def record_load_shed(self, route: str, rank: int) -> None:
        """Records one request that was refused under pressure."""
        key = (route, rank)
        self._load_shed_counts[key] = self._load_shed_counts.get(key, 0) + 1

    def set_pressures(self, pressures: dict[str, float]) -> None:
        """Sets the pressure by service; a service without any has 0."""
        self._pressures = dict.fromkeys(self._pressures, 0.0) | pressures

    def collect(self):
        """Yields the metric families, as a Prometheus collector does."""
        latency_summary = core.SummaryMetricFamily(
            "bramleyworks_latency_seconds",
            "Latency of answers by service.",
            labels=["service"],
        )
        latency_quantiles = core.GaugeMetricFamily(
            "bramleyworks_latency_quantile_seconds",
            "Quantiles of the latency since the start.",
            labels=["service", "percent"],
        )
        for service, latencies in self._latency_by_service.items():
            count = latencies.get_total_count()
            mean_us = latencies.get_mean_value() if count else 0.0
            latency_summary.add_metric([service], count, count * mean_us / 1e6)
            for percent in QUANTILES:
                value_us = latencies.get_value_at_percentile(percent)
                latency_quantiles.add_metric(
                    [service, str(percent)], value_us / 1e6
                )
        yield latency_summary
        yield latency_quantiles
        responses = core.CounterMetricFamily(
            "bramleyworks_answers",
            "Answers by service and status.",
            labels=["service", "status"],
        )
        for (service, status), count in self._response_counts.items():
            responses.add_metric([service, str(status)], count)
        yield responses
        refusals = core.CounterMetricFamily(
            "bramleyworks_refusals",
            "Refusals by step and organisation.",
            labels=["step", "organisation"],
        )
        for (step, organisation), count in self._refusal_counts.items():
            refusals.add_metric([step, organisation], count)
        yield refusals
        for collect in self._collectors:
            yield from collect()
        load_shed = core.CounterMetricFamily(
            "bramleyworks_load_shed",
            "Requests refused under pressure by route and rank.",
            labels=["route", "rank"],
        )
        for (route, rank), count in self._load_shed_counts.items():
            load_shed.add_metric([route, str(rank)], count)
        yield load_shed
        pressures = core.GaugeMetricFamily(
            "bramleyworks_pressure",
            "Pressure on each service in the region, 0 to 1.",
            labels=["service"],
        )
        for service, pressure in self._pressures.items():
            pressures.add_metric([service], pressure)
        yield pressures

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)
