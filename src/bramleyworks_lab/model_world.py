"""Shared state of an experiment outside its VMs."""

import dataclasses
from collections.abc import Callable

from bramleyworks.adapters import listed_vm
from bramleyworks_lab import deployment
from bramleyworks_lab import model_network
from bramleyworks_lab import model_store
from bramleyworks_lab import model_upstream
from bramleyworks_lab import observer


@dataclasses.dataclass(frozen=True)
class ModelWorld:
    """State that all VMs of an experiment share.

    Attributes:
        deployment: Sizes and latencies of the deployment.
        clock: Returns virtual time in seconds; also serves as Unix time.
        network: Network between VMs.
        store: The platform's store.
        upstreams: Upstreams by name.
        events: Records events and checks invariants.
        vm_list: The platform's VM list, changed in place.
        partitioned_regions: Regions that are cut off from all others, changed
            in place.
        frozen_health: Non-empty while health endpoints repeat old results.
    """

    deployment: deployment.Deployment
    clock: Callable[[], float]
    network: model_network.ModelNetwork
    store: model_store.ModelStore
    upstreams: dict[str, model_upstream.ModelUpstream]
    events: observer.Observer
    vm_list: list[listed_vm.ListedVm]
    partitioned_regions: set[str]
    frozen_health: set[str]

    def is_reachable(self, source: str, target: str) -> bool:
        """Returns whether one region can reach another."""
        return source == target or not (
            {source, target} & self.partitioned_regions
        )
