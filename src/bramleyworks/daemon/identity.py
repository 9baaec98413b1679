"""Who this daemon is."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Identity:
    """The identity of this process.

    Attributes:
        vm_id: Name of the VM, from the settings.
        incarnation: Random id of this process; a restart gets a new one.
        region: Region of the VM.
        failure_domain: Failure domain of the VM in its region.
        http: Address for callers, ``IP:PORT``.
        peer: Address of the peer link, ``IP:PORT``.
    """

    vm_id: str
    incarnation: str
    region: str
    failure_domain: str
    http: str
    peer: str
