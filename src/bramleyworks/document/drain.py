"""A planned drain."""

from typing import Literal

import msgspec


class Drain(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keeps new requests away from a part of the fleet.

    Attributes:
        kind: Type of the target.
        target: Name of the upstream, region or VM, or ``REGION/NAME`` of a
            failure domain.
    """

    kind: Literal["upstream", "failure_domain", "region", "vm"]
    target: str
