"""What this VM believes about configuration, upstreams and other VMs."""

import functools
from collections.abc import Callable
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import beat as beat_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import gateway_config as gateway_config_module
from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import moves as moves_module
from bramleyworks.gateway import registry as registry_module
from bramleyworks.gateway import store_updates
from bramleyworks.gateway import vm as vm_module


class ClusterState:
    """Applies facts in the order in which they become known.

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
        """Starts without knowledge.

        Args:
            region: Region of this VM.
            regions: Region of each failure domain.
            log: Log of decisions.
            clock: Monotonic time in seconds.
        """
        self.config: gateway_config_module.GatewayConfig | None = None
        self.registry = registry_module.Registry(region, regions, clock)
        self.moves = moves_module.Moves(clock)
        self.vms: dict[str, vm_module.Vm] = {}
        self._log = log

    def limits(self) -> limits_module.Limits:
        """Returns the bounds on callers."""
        if self.config is None:
            return limits_module.Limits()
        return self.config.limits

    def eligible_versions(self, service: str) -> set[str]:
        """Returns the versions of a service that requests may go to."""
        finished = self.moves.base_version(service)
        if finished is not None:
            self.registry.set_base_version(service, finished)
        return self.moves.versions(
            service,
            self.registry.base_version(service),
            self.registry.versions(service),
        )

    def report_moves(self) -> dict[str, beat_module.MoveReport]:
        """Returns what this VM knows about running moves."""
        return self.moves.report(self._in_flight_elsewhere)

    def _in_flight_elsewhere(self, service: str, version: str) -> int:
        return sum(
            u.in_flight
            for u in self.registry.all()
            if u.instance.service == service and u.instance.version != version
        )

    def take(self, fact: store_updates.Update) -> None:
        """Applies a fact and logs what it changes."""
        apply(fact, self)

    def take_config(self, fact: store_updates.ConfigUpdate) -> None:
        """Puts a configuration in force unless it is older."""
        known = self.config.version if self.config else 0
        if fact.config.version <= known:
            return
        self.config = fact.config
        self._log.write(
            "config.in_force", version=fact.config.version, before=known
        )
        logging.info("configuration %d in force", fact.config.version)


@functools.singledispatch
def apply(fact, world: ClusterState) -> None:
    """Applies a fact of any kind."""
    raise TypeError(f"no such fact: {fact!r}")


@apply.register
def _(fact: store_updates.ConfigUpdate, world: ClusterState) -> None:
    world.take_config(fact)


@apply.register
def _(fact: store_updates.InstanceUpdate, world: ClusterState) -> None:
    world.registry.register(fact.id, fact.instance)


@apply.register
def _(fact: store_updates.EvacuationUpdate, world: ClusterState) -> None:
    world.registry.evacuate(fact.failure_domain, fact.is_active)


@apply.register
def _(fact: store_updates.MoveOrderUpdate, world: ClusterState) -> None:
    world.moves.order(fact.service, fact.order)


@apply.register
def _(fact: store_updates.MoveStateUpdate, world: ClusterState) -> None:
    world.moves.record(fact.service, fact.state)


@apply.register
def _(fact: store_updates.VmUpdate, world: ClusterState) -> None:
    if fact.vm is None:
        world.vms.pop(fact.id, None)
    else:
        world.vms[fact.id] = fact.vm
