"""The packed table from client addresses to sites."""

import ipaddress

import numpy as np

from bramleyworks.document import client_block
from bramleyworks.policy import site


class BlockTable:
    """Blocks of IPv4 clients and their nearest sites, in packed arrays.

    Nested blocks are cut into disjoint ranges when the table is built, so a
    look-up is one binary search. A range takes 6 bytes.

    Attributes:
        sites: The sites that ranges refer to.
    """

    def __init__(
        self,
        starts: np.ndarray,
        site_indexes: np.ndarray,
        sites: tuple[site.Site, ...],
    ):
        """Takes the packed arrays.

        Args:
            starts: First address of each range, ascending, ``uint32``, shape
                ``(n,)``; a range ends where the next one starts.
            site_indexes: Index into ``sites`` plus one, 0 for no site,
                ``uint16``, shape ``(n,)``.
            sites: The sites.
        """
        self._starts = starts
        self._site_indexes = site_indexes
        self.sites = sites

    def nearest(self, address: str) -> site.Site | None:
        """Returns the site of a client, None if it is in no block.

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
    """Builds the table; the longest prefix wins where blocks overlap."""
    sites: dict[site.Site, int] = {}
    ranges = []
    for block in blocks:
        network = ipaddress.IPv4Network(block.cidr)
        where = site.Site(block.region, block.failure_domain)
        index = sites.setdefault(where, len(sites) + 1)
        first = int(network.network_address)
        ranges.append((first, first + network.num_addresses, index))
    # Wider blocks come first at the same start, so inner ones cut them.
    ranges.sort(key=lambda item: (item[0], -item[1]))
    starts: list[int] = []
    indexes: list[int] = []
    open_blocks: list[tuple[int, int]] = []

    def emit(start: int, index: int) -> None:
        if starts and starts[-1] == start:
            indexes[-1] = index
        elif not indexes or indexes[-1] != index:
            starts.append(start)
            indexes.append(index)

    def close_until(limit: int) -> None:
        while open_blocks and open_blocks[-1][0] <= limit:
            end, _ = open_blocks.pop()
            emit(end, open_blocks[-1][1] if open_blocks else 0)

    for first, end, index in ranges:
        close_until(first)
        emit(first, index)
        open_blocks.append((end, index))
    close_until(2**32)
    kept = [i for i, start in enumerate(starts) if start < 2**32]
    return BlockTable(
        np.array([starts[i] for i in kept], dtype=np.uint32),
        np.array([indexes[i] for i in kept], dtype=np.uint16),
        tuple(sites),
    )
