"""A block of client addresses and its nearest failure domain."""

import msgspec


class ClientBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Clients whose addresses share a prefix.

    Attributes:
        cidr: Address block, for example ``10.1.0.0/16``.
        region: Nearest region.
        failure_domain: Nearest failure domain in that region.
    """

    cidr: str
    region: str
    failure_domain: str
