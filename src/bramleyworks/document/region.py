"""A region and its failure domains."""

import msgspec


class Region(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A region of the network.

    Attributes:
        name: Unique name.
        failure_domains: Names of its failure domains, at least one.
    """

    name: str
    failure_domains: tuple[str, ...]
