"""Decoded changes of store items."""

import dataclasses

from bramleyworks.gateway import gateway_config as gateway_config_module
from bramleyworks.gateway import instance as instance_module
from bramleyworks.gateway import move_order
from bramleyworks.gateway import move_state
from bramleyworks.gateway import vm as vm_module


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """The latest configuration."""

    config: gateway_config_module.GatewayConfig


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceUpdate:
    """An upstream's registration; None if it was removed or is invalid."""

    id: str
    instance: instance_module.Instance | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """The start or end of the evacuation of a failure domain."""

    failure_domain: str
    is_active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MoveOrderUpdate:
    """The order to move a service, None if it was withdrawn."""

    service: str
    order: move_order.MoveOrder | None


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStateUpdate:
    """The recorded state of a move, None if it was removed."""

    service: str
    state: move_state.MoveState | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmUpdate:
    """An entry VM's registration, None if it expired."""

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
