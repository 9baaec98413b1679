"""Identity of a daemon process."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identity of a daemon process.

    Attributes:
        vm_id: Name of the VM, as set in the settings.
        incarnation: Random id of the process; each restart generates a new one.
        region: Region of the VM.
        failure_domain: Failure domain of the VM within its region.
        http: Address that callers connect to, ``IP:PORT``.
        peer: Address that peers connect to, ``IP:PORT``.
    """

    vm_id: str
    incarnation: str
    region: str
    failure_domain: str
    http: str
    peer: str
