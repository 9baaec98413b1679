"""Metrics of uploads."""

from collections.abc import Iterator

from prometheus_client import core

from bramleyworks.policy import upload_budget


def collect(uploads: upload_budget.UploadBudget) -> Iterator[core.Metric]:
    """Yields the metric families.

    Args:
        uploads: Budget of the VM.
    """
    yield core.GaugeMetricFamily(
        "bramleyworks_upload_bytes",
        "Bytes of uploads in flight.",
        value=uploads.in_flight_bytes,
    )
    yield core.GaugeMetricFamily(
        "bramleyworks_upload_limit_bytes",
        "Bytes of uploads that may be in flight.",
        value=uploads.limit_bytes,
    )
    yield core.CounterMetricFamily(
        "bramleyworks_refused_uploads",
        "Uploads refused because enough bytes were in flight.",
        value=uploads.refused,
    )
