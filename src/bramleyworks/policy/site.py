"""Location of an entry VM."""

from typing import NamedTuple


class Site(NamedTuple):
    """A failure domain of a region.

    Attributes:
        region: Name of the region.
        failure_domain: Name of the failure domain in the region.
    """

    region: str
    failure_domain: str
