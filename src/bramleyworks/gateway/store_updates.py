"""What the store says, one item at a time."""

import dataclasses

from bramleyworks.gateway import gateway_config as gateway_config_module
from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import move_order
from bramleyworks.gateway import move_state
from bramleyworks.gateway import vm as vm_module


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """The newest configuration."""

    config: gateway_config_module.GatewayConfig


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceUpdate:
    """An upstream's registration; None if it is gone or unreadable."""

    id: str
    instance: instance_module.Instance | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """Whether a failure domain is evacuated."""

    failure_domain: str
    is_active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MoveOrderUpdate:
    """The order to move a service, None if there is none."""

    service: str
    order: move_order.MoveOrder | None


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStateUpdate:
    """The recorded state of a move, None if there is none."""

    service: str
    state: move_state.MoveState | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmUpdate:
    """An entry VM's registration, None if it has lapsed."""

    id: str
    vm: vm_module.Vm | None


Update = (
    ConfigUpdate
    | InstanceUpdate
    | EvacuationUpdate
    | MoveOrderUpdate
    | MoveStateUpdate
    | VmUpdate
)
