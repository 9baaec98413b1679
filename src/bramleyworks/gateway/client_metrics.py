"""Metrics of what clients hold."""

from prometheus_client import core

from bramleyworks.gateway import client_accounts


class ClientMetrics:
    """Collects the figures of the accounts when they are read."""

    def __init__(self, accounts: client_accounts.ClientAccounts):
        self._accounts = accounts

    def collect(self):
        """Yields the metric families, as a Prometheus collector does."""
        conns = core.GaugeMetricFamily(
            "bramleyworks_client_connections",
            "Connections of clients by listener.",
            labels=["listener"],
        )
        held = core.GaugeMetricFamily(
            "bramleyworks_client_held_bytes",
            "Memory that clients hold by listener.",
            labels=["listener"],
        )
        for listener, (count, held_bytes) in self._accounts.totals().items():
            conns.add_metric([listener], count)
            held.add_metric([listener], held_bytes)
        yield conns
        yield held
        reclaims = core.CounterMetricFamily(
            "bramleyworks_client_reclaims",
            "Clients from which capacity was taken back.",
            labels=["listener", "cause", "action"],
        )
        for labels, count in self._accounts.reclaims.items():
            reclaims.add_metric(list(labels), count)
        yield reclaims
        yield core.CounterMetricFamily(
            "bramleyworks_client_deferrals",
            "Times that a client's work was left for a later turn.",
            value=self._accounts.scheduler.deferrals,
        )
