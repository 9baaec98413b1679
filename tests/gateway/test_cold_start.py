"""Cold upstreams in a region of many VMs, on virtual time."""

import random

from bramleyworks.gateway import instance
from bramleyworks.gateway import upstream

VMS = 28
# ``cold_per_s``, ``cold_over`` and ``cold_slack`` of a grown site.
TOLERATED_PER_S = 5.3
WORST_SECOND = TOLERATED_PER_S * 1.5 + 8
SECONDS = 6.0


def simulate(seed):
    """Returns when the VMs sent requests, each as soon as it may."""
    random.seed(seed)
    now = [100.0]
    cold = instance.Instance(
        "u1", "desk", "127.0.0.1", 1, "one-a", "v1", 4, False, 9.0, 1
    )
    vms = [upstream.Upstream(cold, lambda: now[0]) for _ in range(VMS)]
    share = 0.9 * TOLERATED_PER_S / VMS
    sent = []
    while now[0] < 100.0 + SECONDS:
        now[0] += 0.02
        sent += [now[0] for vm in vms if vm.take_cold_token(share)]
    return sent


def test_first_requests_of_all_vms_do_not_come_in_one_second():
    for seed in range(20):
        sent = simulate(seed)
        for start_s in sent:
            within = [at for at in sent if start_s <= at < start_s + 1.0]
            assert len(within) <= WORST_SECOND, seed
        assert len(sent) > 0.7 * 0.9 * TOLERATED_PER_S * SECONDS, seed
