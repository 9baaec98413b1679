"""This VM's view of the configuration, upstreams, moves and other VMs."""

import functools
from collections.abc import Callable
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import event_log
from bramleyworks.gateway import gateway_config as gateway_config_module
from bramleyworks.gateway import heartbeat as heartbeat_module
from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import moves as moves_module
from bramleyworks.gateway import registry as registry_module
from bramleyworks.gateway import service as service_module
from bramleyworks.gateway import store_updates
from bramleyworks.gateway import upstream as upstream_module
from bramleyworks.gateway import vm as vm_module


class ClusterState:
    """State that store updates are applied to.

    Attributes:
        config: Configuration in force, None before the first one.
        registry: Upstreams.
        moves: Moves of services to other versions.
        vms: Registered entry VMs by id.
    """

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes an empty state.

        Args:
            region: Region of this VM.
            regions: Region of each failure domain.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self.config: gateway_config_module.GatewayConfig | None = None
        self.registry = registry_module.Registry(region, regions, clock)
        self.moves = moves_module.Moves(clock)
        self.vms: dict[str, vm_module.Vm] = {}
        self._log = log

    def limits(self) -> limits_module.Limits:
        """Returns the limits on callers."""
        if self.config is None:
            return limits_module.Limits()
        return self.config.limits

    def health_path(self, service: str) -> str:
        """Returns the path of the health check of a service's upstreams."""
        found = self.config.services.get(service) if self.config else None
        return (
            found.health_path if found else service_module.DEFAULT_HEALTH_PATH
        )

    def base_version(self, service: str) -> str | None:
        """Returns the version of a service that serves apart from moves."""
        finished = self.moves.base_version(service)
        if finished is not None:
            self.registry.set_base_version(service, finished)
        return self.registry.base_version(
            service, self.moves.target_version(service)
        )

    def settle_base_versions(self) -> None:
        """Sets the versions that serve before others start beside them."""
        for service in self.registry.services:
            self.base_version(service)

    def eligible_versions(self, service: str) -> set[str]:
        """Returns the versions of a service that requests may be sent to."""
        return self.moves.eligible_versions(
            service,
            self.base_version(service),
            self.registry.running_versions(service),
        )

    def report_moves(self) -> dict[str, heartbeat_module.MoveReport]:
        """Returns this VM's reports on running moves by service."""
        return self.moves.build_reports(self._in_flight_on_other_versions)

    def _in_flight_on_other_versions(self, service: str, version: str) -> int:
        return sum(
            u.in_flight
            for u in self.registry.all()
            if u.instance.service == service and u.instance.version != version
        )

    def record_rate_limit(
        self, upstream: upstream_module.Upstream, rate_per_s: float | None
    ) -> None:
        """Records the rate limit that an upstream named, None for none."""
        before = self.registry.rate_limits.record(upstream.instance, rate_per_s)
        if rate_per_s != before:
            self._log.write(
                "upstream.limit",
                upstream=upstream.instance.id,
                service=upstream.instance.service,
                rate_per_s=rate_per_s,
                before=before,
            )

    def record_leaving(self, upstream: upstream_module.Upstream) -> None:
        """Records that an upstream leaves, as its response said."""
        if self.registry.wishes.record_leaving(upstream.instance):
            self._log.write(
                "upstream.leaving",
                upstream=upstream.instance.id,
                service=upstream.instance.service,
            )

    def record_leaving_by_id(self, upstream_id: str, started_ms: int) -> None:
        """Records that one start of an upstream leaves, if it is known here."""
        upstream = self.registry.get(upstream_id)
        if upstream is not None and upstream.instance.started_ms == started_ms:
            self.record_leaving(upstream)

    def record_pause(
        self, upstream: upstream_module.Upstream, pause_s: float
    ) -> None:
        """Records that an upstream wants no request of this VM for a while."""
        self.registry.wishes.record_pause(upstream.instance, pause_s)
        self._log.write(
            "upstream.pause",
            upstream=upstream.instance.id,
            service=upstream.instance.service,
            pause_s=round(pause_s, 3),
        )

    def apply(self, update: store_updates.Update) -> None:
        """Applies a store update and logs the change."""
        _apply_update(update, self)

    def apply_config(self, update: store_updates.ConfigUpdate) -> None:
        """Puts a configuration in force unless its version is not newer."""
        before = self.config.version if self.config is not None else None
        if before is not None and update.config.version <= before:
            return
        self.config = update.config
        self._log.write(
            "config.in_force",
            version=update.config.version,
            before=before or 0,
        )
        logging.info("configuration %d in force", update.config.version)


@functools.singledispatch
def _apply_update(update, cluster: ClusterState) -> None:
    """Applies a store update by its type."""
    raise TypeError(f"unknown store update: {update!r}")


@_apply_update.register
def _(update: store_updates.ConfigUpdate, cluster: ClusterState) -> None:
    cluster.apply_config(update)


@_apply_update.register
def _(update: store_updates.InstanceUpdate, cluster: ClusterState) -> None:
    cluster.registry.register(update.id, update.instance)


@_apply_update.register
def _(update: store_updates.EvacuationUpdate, cluster: ClusterState) -> None:
    cluster.registry.evacuate(update.failure_domain, update.is_active)


@_apply_update.register
def _(update: store_updates.MoveOrderUpdate, cluster: ClusterState) -> None:
    cluster.moves.update_order(update.service, update.order)


@_apply_update.register
def _(update: store_updates.MoveStateUpdate, cluster: ClusterState) -> None:
    cluster.moves.update_state(update.service, update.state)


@_apply_update.register
def _(update: store_updates.VmUpdate, cluster: ClusterState) -> None:
    if update.vm is None:
        cluster.vms.pop(update.id, None)
    else:
        cluster.vms[update.id] = update.vm
