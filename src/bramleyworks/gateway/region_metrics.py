"""Metrics of the split of requests between regions."""

from collections.abc import Iterator

from prometheus_client import core

from bramleyworks.gateway import traffic as traffic_module


def collect(traffic: traffic_module.Traffic) -> Iterator[core.Metric]:
    """Yields the metric families of services with the uneven plan."""
    shares = core.GaugeMetricFamily(
        "bramleyworks_region_share",
        "Planned share of this VM's requests by region.",
        labels=["service", "region"],
    )
    latencies = core.GaugeMetricFamily(
        "bramleyworks_region_latency_seconds",
        "Mean latency by region that the shares follow, with the round trip.",
        labels=["service", "region"],
    )
    fallbacks = core.GaugeMetricFamily(
        "bramleyworks_region_fallback_share",
        "Share of requests that may leave the planned region.",
        labels=["service"],
    )
    for service, uneven in traffic.uneven_splits().items():
        for region, share in traffic.shares(service).items():
            shares.add_metric([service, region], share)
        for region, latency_s in uneven.latencies_s().items():
            latencies.add_metric([service, region], latency_s)
        fallbacks.add_metric([service], uneven.fallback_share)
    yield shares
    yield latencies
    yield fallbacks
