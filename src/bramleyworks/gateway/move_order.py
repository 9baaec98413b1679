"""An operator's order to move a service to another version."""

import dataclasses
import zlib


@dataclasses.dataclass(frozen=True, slots=True)
class MoveOrder:
    """Order to move a service's traffic to upstreams of one version.

    Attributes:
        service: Service to move.
        to_version: Version to move to.
        duration_s: Seconds from the start to the end of the move.
    """

    service: str
    to_version: str
    duration_s: float

    @property
    def id(self) -> int:
        """Identifies the order between VMs.

        It does not depend on the store's revision, since a restored store gets
        the same order again with another one.
        """
        text = f"{self.service}\0{self.to_version}\0{self.duration_s}"
        return zlib.crc32(text.encode())
