"""Metrics of the load that upstreams report."""

import collections
from collections.abc import Iterator

from prometheus_client import core

from bramleyworks.gateway import registry as registry_module


def collect(registry: registry_module.Registry) -> Iterator[core.Metric]:
    """Yields the metric families.

    Args:
        registry: The known upstreams.
    """
    busy = core.GaugeMetricFamily(
        "bramleyworks_busy_upstreams",
        "Upstreams whose machines are expected to take longer than usual.",
        labels=["service"],
    )
    counts = collections.Counter(
        {u.instance.service: 0 for u in registry.all() if u.has_work_factor}
    )
    counts.update(u.instance.service for u in registry.all() if u.is_busy)
    for service, count in counts.items():
        busy.add_metric([service], count)
    yield busy
    yield core.CounterMetricFamily(
        "bramleyworks_malformed_loads",
        "Responses of upstreams whose load could not be decoded.",
        value=registry.malformed_loads,
    )
