"""Division of a request rate that an upstream takes from all VMs together.

An upstream in need names a rate, possibly below one request a second, and up to
some hundred VMs send to it. Each VM computes the same division from the VMs
that it knows, so no request waits for a message. A VM saves up at least one
request, or it could never send any; the number of VMs with a share is therefore
bounded so that their saved requests together stay within the tolerated excess.
"""

import math
from collections.abc import Mapping

from bramleyworks.policy import rendezvous

# VMs that may have a share, for any rate and in addition for each request per
# second of the rate. An upstream tolerates 5 requests and half of the rate for
# 4 s beyond what it names.
BASE_HOLDERS = 2
HOLDERS_PER_RATE = 1.5
# Weight of a VM in the region of the upstream relative to others, which send to
# it only when their own region is full or may not serve a request.
SAME_REGION_WEIGHT = 4.0
# Time for which a VM saves up requests that it does not send.
BURST_S = 0.25
# Least rate that is divided; without any request the end of a limit would go
# unnoticed.
MIN_RATE_PER_S = 0.1


def divide(
    upstream_id: str, rate_per_s: float, region: str, vms: Mapping[str, str]
) -> dict[str, float]:
    """Returns the rates of the VMs that may send to an upstream.

    Args:
        upstream_id: Id of the upstream; different ones select different VMs.
        rate_per_s: Requests per second that it takes.
        region: Region of the upstream.
        vms: Region of each VM by id.
    """
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    weights = {
        name: SAME_REGION_WEIGHT if vm_region == region else 1.0
        for name, vm_region in vms.items()
    }
    count = BASE_HOLDERS + int(HOLDERS_PER_RATE * rate_per_s)
    if count < len(weights):
        # Of all VMs, those that weighted rendezvous hashing ranks first.
        ranked = sorted(
            weights,
            key=lambda name: (
                -math.log(rendezvous.fraction(upstream_id, name))
                / weights[name]
            ),
        )
        weights = {name: weights[name] for name in ranked[:count]}
    total = sum(weights.values())
    return {
        name: rate_per_s * weight / total for name, weight in weights.items()
    }


def capacity(rate_per_s: float) -> float:
    """Returns the requests that a VM may save up at a rate, 0 without one."""
    if rate_per_s <= 0.0:
        return 0.0
    return max(1.0, BURST_S * rate_per_s)
