"""An entry VM as seen by callers."""

import dataclasses

from bramleyworks.policy import site


@dataclasses.dataclass(frozen=True)
class EntryVm:
    """An entry VM that a lookup may return.

    Attributes:
        vm_id: Name of the VM.
        address: Address for callers, ``IP:PORT``.
        site: Region and failure domain of the VM.
    """

    vm_id: str
    address: str
    site: site.Site
