"""What this VM believes about configuration, upstreams and other VMs."""

import functools
from collections.abc import Callable
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import beat as beat_module
from bramleyworks.gateway import event_log
from bramleyworks.gateway import facts
from bramleyworks.gateway import intent as intent_module
from bramleyworks.gateway import limits as limits_module
from bramleyworks.gateway import moves as moves_module
from bramleyworks.gateway import registry as registry_module
from bramleyworks.gateway import vm as vm_module


class World:
    """Applies facts in the order in which they become known.

    Attributes:
        intent: Configuration in force, None before the first one.
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
        self.intent: intent_module.Intent | None = None
        self.registry = registry_module.Registry(region, regions, clock)
        self.moves = moves_module.Moves(clock)
        self.vms: dict[str, vm_module.Vm] = {}
        self._log = log

    def limits(self) -> limits_module.Limits:
        """Returns the bounds on callers."""
        if self.intent is None:
            return limits_module.Limits()
        return self.intent.limits

    def versions(self, service: str) -> set[str]:
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

    def take(self, fact: facts.Fact) -> None:
        """Applies a fact and logs what it changes."""
        apply(fact, self)

    def take_config(self, fact: facts.ConfigFact) -> None:
        """Puts a configuration in force unless it is older."""
        known = self.intent.version if self.intent else 0
        if fact.intent.version <= known:
            return
        self.intent = fact.intent
        self._log.write(
            "config.in_force", version=fact.intent.version, before=known
        )
        logging.info("configuration %d in force", fact.intent.version)


@functools.singledispatch
def apply(fact, world: World) -> None:
    """Applies a fact of any kind."""
    raise TypeError(f"no such fact: {fact!r}")


@apply.register
def _(fact: facts.ConfigFact, world: World) -> None:
    world.take_config(fact)


@apply.register
def _(fact: facts.InstanceFact, world: World) -> None:
    world.registry.register(fact.id, fact.instance)


@apply.register
def _(fact: facts.EvacuationFact, world: World) -> None:
    world.registry.evacuate(fact.failure_domain, fact.is_active)


@apply.register
def _(fact: facts.OrderFact, world: World) -> None:
    world.moves.order(fact.service, fact.order)


@apply.register
def _(fact: facts.StateFact, world: World) -> None:
    world.moves.record(fact.service, fact.state)


@apply.register
def _(fact: facts.VmFact, world: World) -> None:
    if fact.vm is None:
        world.vms.pop(fact.id, None)
    else:
        world.vms[fact.id] = fact.vm
