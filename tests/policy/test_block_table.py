"""Guards against clients being sent to the site of a different block."""

import ipaddress

import hypothesis
from hypothesis import strategies

from bramleyworks.document import client_block
from bramleyworks.policy import block_table
from bramleyworks.policy import site

NETWORKS = strategies.builds(
    lambda address, prefix: str(
        ipaddress.ip_network((address, prefix), strict=False)
    ),
    strategies.integers(0, 2**32 - 1),
    strategies.sampled_from([0, 1, 8, 16, 24, 31, 32]),
)


def linear_search_nearest(blocks, address):
    found = None
    for block in blocks:
        network = ipaddress.ip_network(block.cidr)
        if ipaddress.ip_address(address) in network and (
            found is None or network.prefixlen > found[0]
        ):
            found = network.prefixlen, block
    if found is None:
        return None
    return site.Site(found[1].region, found[1].failure_domain)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(NETWORKS, unique=True, max_size=12),
    strategies.lists(strategies.integers(0, 2**32 - 1), max_size=5),
)
def test_longest_prefix_match_equals_linear_search(cidrs, values):
    blocks = tuple(
        client_block.ClientBlock(cidr, "r", f"d{i}")
        for i, cidr in enumerate(cidrs)
    )
    table = block_table.build(blocks)
    edges = [
        value
        for cidr in cidrs
        for value in (
            int(ipaddress.ip_network(cidr)[0]),
            int(ipaddress.ip_network(cidr)[-1]),
            min(2**32 - 1, int(ipaddress.ip_network(cidr)[-1]) + 1),
        )
    ]
    for value in [*values, *edges]:
        address = str(ipaddress.ip_address(value))
        assert table.nearest(address) == linear_search_nearest(blocks, address)
