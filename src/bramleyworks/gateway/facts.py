"""What the store says, one item at a time."""

import dataclasses

from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import intent as intent_module
from bramleyworks.gateway import rollout_order
from bramleyworks.gateway import rollout_state
from bramleyworks.gateway import vm as vm_module


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFact:
    """The newest configuration."""

    intent: intent_module.Intent


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceFact:
    """An upstream's registration; None if it is gone or unreadable."""

    id: str
    instance: instance_module.Instance | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationFact:
    """Whether a failure domain is evacuated."""

    failure_domain: str
    is_active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFact:
    """The order to move a service, None if there is none."""

    service: str
    order: rollout_order.RolloutOrder | None


@dataclasses.dataclass(frozen=True, slots=True)
class StateFact:
    """The recorded state of a move, None if there is none."""

    service: str
    state: rollout_state.RolloutState | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmFact:
    """An entry VM's registration, None if it has lapsed."""

    id: str
    vm: vm_module.Vm | None


Fact = (
    ConfigFact | InstanceFact | EvacuationFact | OrderFact | StateFact | VmFact
)
