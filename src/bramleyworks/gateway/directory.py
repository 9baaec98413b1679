"""Answers which entry VMs a caller is to use."""

from collections.abc import Callable
from collections.abc import Mapping

from bramleyworks.gateway import beat as beat_module
from bramleyworks.gateway import vm as vm_module

# Longest answer that callers take.
ADDRESSES_MAX = 64


class Directory:
    """Names live entry VMs near a caller."""

    def __init__(
        self,
        own: vm_module.Vm,
        is_ready: Callable[[], bool],
        peers: Callable[[], list[beat_module.Beat]],
        registered: Callable[[], Mapping[str, vm_module.Vm]],
    ):
        """Takes what it decides by.

        Args:
            own: This VM.
            is_ready: Whether this VM takes callers.
            peers: Returns the heartbeats of live peers.
            registered: Returns the registered VMs.
        """
        self._own = own
        self._is_ready = is_ready
        self._peers = peers
        self._registered = registered

    def look_up(self, region: str) -> list[str]:
        """Returns the addresses for a caller in a region.

        VMs of the caller's region come alone; those of other regions are
        named only when it has none, since each request through them crosses
        a region and returns.
        """
        live = [b.vm for b in self._peers() if b.is_ready]
        if self._is_ready():
            live.append(self._own)
        if not live:
            # Nobody is heard: this VM may be the one that is cut off.
            live = list(self._registered().values())
        near = [vm for vm in live if vm.region == region] or live
        return sorted(vm.entry for vm in near)[:ADDRESSES_MAX]
