"""The duties that this deployment's settings name."""

import contextlib
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from absl import logging
from prometheus_client import core
from prometheus_client import registry

from bramleyworks.gateway import cluster_state as cluster_state_module
from bramleyworks.gateway import duty_holder
from bramleyworks.gateway import event_log
from bramleyworks.gateway import peers as peers_module
from bramleyworks.gateway import settings as settings_module
from bramleyworks.gateway import store_replica as store_replica_module
from bramleyworks.gateway import usage_exchange
from bramleyworks.gateway import usage_meter
from bramleyworks.gateway import usage_reporter
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import kv_store
from bramleyworks.platform import usage_service
from bramleyworks.policy import fleet_clock
from bramleyworks.policy import rendezvous
from bramleyworks.policy import usage_counts
from bramleyworks.policy import usage_schedule

USAGE = "usage"
# Shortest time between two searches for the addresses of known VMs.
HOSTS_MAX_AGE_S = 1.0


def create(
    settings: settings_module.Settings,
    own: vm_module.Vm,
    store: kv_store.KvStore,
    replica: store_replica_module.StoreReplica,
    cluster: cluster_state_module.ClusterState,
    peers: peers_module.Peers,
    log: event_log.EventLog,
    clock: Callable[[], float],
) -> "Duties | None":
    """Returns the duties, None where the settings name none.

    Args:
        settings: Settings of the VM.
        own: This VM.
        store: Client of the store.
        replica: What this VM knows of the store.
        cluster: Registered VMs.
        peers: Heartbeats of other VMs.
        log: Event log.
        clock: Monotonic time in seconds.
    """
    if not settings.duty_address or not settings.duty_names:
        return None
    return Duties(settings, own, store, replica, cluster, peers, log, clock)


class Duties(registry.Collector):
    """Holds duties and reports usage.

    Attributes:
        meter: Counts requests that upstreams begin.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        own: vm_module.Vm,
        store: kv_store.KvStore,
        replica: store_replica_module.StoreReplica,
        cluster: cluster_state_module.ClusterState,
        peers: peers_module.Peers,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Creates the parts; the arguments are those of ``create``."""
        self._own = own
        self._cluster = cluster
        self._peers = peers
        self._clock = clock
        self._hosts: set[str] = set()
        self._hosts_s = clock()
        self._stack = contextlib.AsyncExitStack()
        self._holders = [
            duty_holder.DutyHolder(
                name,
                own,
                store,
                replica,
                settings.lease_ms / 1000,
                self._links_mbps,
                self._is_connected,
                log,
                clock,
            )
            for name in settings.duty_names
        ]
        self.meter: usage_meter.UsageMeter | usage_meter.NoMeter = (
            usage_meter.NoMeter()
        )
        self._exchange: usage_exchange.UsageExchange | None = None
        self._reporter: usage_reporter.UsageReporter | None = None
        if USAGE not in settings.duty_names:
            return
        holder = self._holders[settings.duty_names.index(USAGE)]
        shared_clock = fleet_clock.FleetClock(time.time(), clock())
        collection = usage_counts.UsageCollection()
        self.meter = usage_meter.UsageMeter(
            shared_clock, settings.report_s, clock
        )
        self._exchange = usage_exchange.UsageExchange(
            own,
            holder,
            replica,
            self.meter,
            collection,
            shared_clock,
            self._is_running,
            self._backups,
            clock,
        )
        self._service = usage_service.UsageService(settings.duty_address)
        self._reporter = usage_reporter.UsageReporter(
            own.id,
            holder,
            store,
            replica,
            self._service,
            self._exchange,
            collection,
            shared_clock,
            usage_schedule.UsageSchedule(
                settings.report_s, settings.usage_late_s
            ),
            self._known,
            self._peers.entry_addresses,
            settings.duty_calls_per_s,
            # Without tokens the service can not tell calls of the last holder
            # that are executed late.
            0.0 if settings.is_fenced else settings.lease_ms / 1000,
            log,
            clock,
        )

    @property
    def runs(self) -> Sequence[Callable[[], Awaitable[None]]]:
        """Tasks to run in the background."""
        runs = [holder.run for holder in self._holders]
        if self._exchange is not None and self._reporter is not None:
            runs += [self._exchange.run, self._reporter.run]
        return runs

    async def open(self) -> None:
        """Opens connection pools."""
        if self._exchange is not None:
            await self._service.open()
            self._stack.push_async_callback(self._service.close)
            await self._exchange.open()
            self._stack.push_async_callback(self._exchange.close)

    async def close(self) -> None:
        """Closes all connections."""
        await self._stack.aclose()

    async def hand_over(self) -> None:
        """Gives up all duties, while this VM still finishes requests."""
        for holder in self._holders:
            await holder.stop()

    async def flush(self) -> None:
        """Sends the last counts before the process ends."""
        if self._exchange is not None:
            await self._exchange.flush()

    def receive(self, raw: bytes, host: str) -> bytes | None:
        """Merges the counts of another VM; None if they are refused."""
        if self._exchange is None:
            return None
        if not self._is_known(host):
            logging.warning("usage from %s, which is no VM", host)
            return None
        return self._exchange.receive(raw, host)

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric families, as a Prometheus collector does."""
        held = core.GaugeMetricFamily(
            "bramleyworks_duty_holder",
            "1 for the VM that holds a duty, as far as this VM knows.",
            labels=["duty", "vm"],
        )
        tokens = core.GaugeMetricFamily(
            "bramleyworks_duty_fencing_token",
            "Fencing token of the holder.",
            labels=["duty"],
        )
        for holder in self._holders:
            visible = holder.visible()
            if visible is not None:
                held.add_metric([holder.duty, visible[0].vm], 1)
                tokens.add_metric([holder.duty], visible[1])
        yield held
        yield tokens
        if self._reporter is None:
            return
        ages = core.GaugeMetricFamily(
            "bramleyworks_usage_report_age_seconds",
            "Seconds since the last report of this VM.",
        )
        if self._reporter.report_age_s is not None:
            ages.add_metric([], self._reporter.report_age_s)
        covered = core.GaugeMetricFamily(
            "bramleyworks_usage_covered_vms",
            "VMs that the counts of this VM cover, 0 if it is not the holder.",
        )
        covered.add_metric([], self._reporter.covered)
        yield ages
        yield covered

    def _links_mbps(self) -> Mapping[str, float]:
        """Returns the links of the registered VMs whose heartbeats arrive."""
        live = self._peers.entry_addresses()
        return {
            vm.id: vm.link_mbps
            for vm in self._cluster.vms.values()
            if vm.id in live
        }

    def _is_connected(self) -> bool:
        """Returns whether heartbeats of at least half of the VMs arrive.

        Of two VMs each one is a half, and may go on when the other is lost.
        """
        others = self._cluster.vms.keys() - {self._own.id}
        live = len(self._peers.entry_addresses().keys() & others)
        return 2 * (live + 1) >= len(others) + 1

    def _known(self) -> set[str]:
        """Returns the names of all VMs.

        One that is cut off from the store is not registered any more.
        """
        return {
            self._own.id,
            *self._cluster.vms,
            *self._peers.entry_addresses(),
        }

    def _is_running(self, name: str, incarnation: int) -> bool:
        """Returns whether heartbeats of a run of a VM arrive."""
        known = self._cluster.vms.get(name)
        return self._peers.is_live(name) and (
            known is None or known.incarnation == incarnation
        )

    def _backups(self) -> list[str]:
        """Returns control addresses for copies of the holder's counts.

        VMs of other failure domains go first, as those of one fail together.
        """
        live = self._peers.entry_addresses()
        found = {
            vm.id: vm for vm in self._cluster.vms.values() if vm.id in live
        }
        order = rendezvous.rank(USAGE, found.keys() - {self._own.id})
        order.sort(
            key=lambda name: (
                found[name].failure_domain == self._own.failure_domain
            )
        )
        return [found[name].control for name in order]

    def _is_known(self, host: str) -> bool:
        """Returns whether a host is that of a VM."""
        now_s = self._clock()
        if host not in self._hosts and now_s >= self._hosts_s:
            self._hosts = self._peers.hosts()
            self._hosts_s = now_s + HOSTS_MAX_AGE_S
        return host in self._hosts
