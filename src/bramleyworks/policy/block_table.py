"""Compact lookup table from client addresses to sites."""

import ipaddress

import numpy as np

from bramleyworks.document import client_block
from bramleyworks.policy import site


class BlockTable:
    """Blocks of IPv4 clients and their nearest sites, in NumPy arrays.

    Nested blocks are flattened into disjoint ranges when the table is built,
    so a lookup is one binary search. A range takes 6 bytes.

    Attributes:
        sites: Sites that the ranges refer to.
    """

    def __init__(
        self,
        starts: np.ndarray,
        site_indexes: np.ndarray,
        sites: tuple[site.Site, ...],
    ):
        """Initializes the table from its arrays.

        Args:
            starts: First address of each range, ascending, ``uint32``, shape
                ``(n,)``; a range ends where the next one starts.
            site_indexes: Index into ``sites`` plus one, or 0 for no site,
                ``uint16``, shape ``(n,)``.
            sites: Sites that ``site_indexes`` refers to.
        """
        self._starts = starts
        self._site_indexes = site_indexes
        self.sites = sites

    def nearest(self, address: str) -> site.Site | None:
        """Returns the site nearest to a client, or None if no block matches.

        Args:
            address: IPv4 address of the client.

        Raises:
            ValueError: The address is not an IPv4 address.
        """
        value = int(ipaddress.IPv4Address(address))
        position = int(
            self._starts.searchsorted(np.uint32(value), side="right")
        )
        if position == 0:
            return None
        index = int(self._site_indexes[position - 1])
        return self.sites[index - 1] if index else None

    def __len__(self) -> int:
        return len(self._starts)


def build(blocks: tuple[client_block.ClientBlock, ...]) -> BlockTable:
    """Builds the table; where blocks overlap, the longest prefix wins."""
    sites: dict[site.Site, int] = {}
    ranges = []
    for block in blocks:
        network = ipaddress.IPv4Network(block.cidr)
        nearest_site = site.Site(block.region, block.failure_domain)
        index = sites.setdefault(nearest_site, len(sites) + 1)
        first = int(network.network_address)
        ranges.append((first, first + network.num_addresses, index))
    # Of blocks with the same start the wider comes first, so that the narrower
    # ones override it.
    ranges.sort(key=lambda item: (item[0], -item[1]))
    starts: list[int] = []
    indexes: list[int] = []
    open_blocks: list[tuple[int, int]] = []

    def add_range(start: int, index: int) -> None:
        if starts and starts[-1] == start:
            indexes[-1] = index
        elif not indexes or indexes[-1] != index:
            starts.append(start)
            indexes.append(index)

    def close_until(limit: int) -> None:
        while open_blocks and open_blocks[-1][0] <= limit:
            end, _ = open_blocks.pop()
            add_range(end, open_blocks[-1][1] if open_blocks else 0)

    for first, end, index in ranges:
        close_until(first)
        add_range(first, index)
        open_blocks.append((end, index))
    close_until(2**32)
    kept = [i for i, start in enumerate(starts) if start < 2**32]
    return BlockTable(
        np.array([starts[i] for i in kept], dtype=np.uint32),
        np.array([indexes[i] for i in kept], dtype=np.uint16),
        tuple(sites),
    )
