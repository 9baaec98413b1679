"""One VM on the platform's list."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True)
class ListedVm:
    """An entry of the platform's VM list, which may be out of date.

    Attributes:
        id: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM in its region.
        http: Address for callers, ``IP:PORT``.
        peer: Address of the peer link, ``IP:PORT``.
        state: ``"leaving"`` if the platform is about to stop the VM.
    """

    id: str
    region: str
    failure_domain: str
    http: str
    peer: str
    state: Literal["live", "leaving"] = "live"
