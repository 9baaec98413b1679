"""Everything outside the VMs in an experiment."""

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
    """What all VMs of an experiment share.

    Attributes:
        deployment: Sizes and latencies.
        clock: Virtual time in seconds; also taken as Unix time.
        network: Messages between VMs.
        store: The platform's store.
        upstreams: Servers by name.
        seen: The observer.
        listed: The platform's VM list, changed in place.
        cut: Regions cut off from all others, changed in place.
        frozen: Non-empty while health endpoints repeat old readings.
    """

    deployment: deployment.Deployment
    clock: Callable[[], float]
    network: model_network.ModelNetwork
    store: model_store.ModelStore
    upstreams: dict[str, model_upstream.ModelUpstream]
    observer: observer.Observer
    vm_list: list[listed_vm.ListedVm]
    partitioned_regions: set[str]
    frozen_health: set[str]

    def is_reachable(self, source: str, target: str) -> bool:
        """Returns whether a region reaches another one."""
        return source == target or not (
            {source, target} & self.partitioned_regions
        )
