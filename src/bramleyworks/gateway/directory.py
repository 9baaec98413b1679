"""Selects the entry VMs that a caller should use."""

from collections.abc import Callable
from collections.abc import Mapping

from bramleyworks.gateway import vm as vm_module
from bramleyworks.policy import isolation

# Callers accept no longer list.
MAX_ADDRESSES = 64


class Directory:
    """Looks up live entry VMs near a caller."""

    def __init__(
        self,
        own: vm_module.Vm,
        is_ready: Callable[[], bool],
        peers: Callable[[], Mapping[str, tuple[str, str]]],
        reach: Callable[[], Mapping[str, isolation.Reach]],
        registered: Callable[[], Mapping[str, vm_module.Vm]],
    ):
        """Initializes the directory.

        Args:
            own: This VM.
            is_ready: Returns whether this VM accepts callers.
            peers: Returns the region and entry address of live peers by id.
            reach: Returns whether VMs, this one included, reach upstreams.
            registered: Returns the registered VMs by id.
        """
        self._own = own
        self._is_ready = is_ready
        self._peers = peers
        self._reach = reach
        self._registered = registered

    def look_up(self, region: str) -> list[str]:
        """Returns the entry addresses for a caller in a region.

        VMs of other regions are returned only if the caller's region has none,
        since each request through them crosses regions twice. The same holds
        for VMs that reach no upstream, as they pass each request on.

        Args:
            region: Region of the caller.
        """
        ready = dict(self._peers())
        if self._is_ready():
            ready[self._own.id] = (self._own.region, self._own.entry)
        live = [
            ready[name]
            for name in isolation.entry_candidates(ready, self._reach())
        ]
        if not live:
            # No peer is live: this VM itself may be partitioned.
            live = [(v.region, v.entry) for v in self._registered().values()]
        same_region = [
            entry for vm_region, entry in live if vm_region == region
        ]
        chosen = same_region or [entry for _, entry in live]
        return sorted(chosen)[:MAX_ADDRESSES]
