"""Answers which entry VMs a caller is to use."""

from collections.abc import Callable
from collections.abc import Mapping

from bramleyworks.gateway import vm as vm_module

# Longest answer that callers take.
MAX_ADDRESSES = 64


class Directory:
    """Names live entry VMs near a caller."""

    def __init__(
        self,
        own: vm_module.Vm,
        is_ready: Callable[[], bool],
        peers: Callable[[], Mapping[str, tuple[str, str]]],
        registered: Callable[[], Mapping[str, vm_module.Vm]],
    ):
        """Takes what it decides by.

        Args:
            own: This VM.
            is_ready: Whether this VM takes callers.
            peers: Returns region and entry address of live peers by id.
            registered: Returns the registered VMs by id.
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
        live = list(self._peers().values())
        if self._is_ready():
            live.append((self._own.region, self._own.entry))
        if not live:
            # Nobody is heard: this VM may be the one that is cut off.
            live = [(v.region, v.entry) for v in self._registered().values()]
        same_region = [
            entry for vm_region, entry in live if vm_region == region
        ]
        chosen = same_region or [entry for _, entry in live]
        return sorted(chosen)[:MAX_ADDRESSES]
