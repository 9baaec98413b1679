"""An entry VM as callers see it."""

import dataclasses

from bramleyworks.policy import site


@dataclasses.dataclass(frozen=True)
class EntryVm:
    """A VM that a look-up may name.

    Attributes:
        vm_id: Name of the VM.
        address: Address for callers, ``IP:PORT``.
        site: Where it stands.
    """

    vm_id: str
    address: str
    site: site.Site
