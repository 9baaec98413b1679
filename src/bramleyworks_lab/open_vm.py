"""Naive policy without rate limits."""

from bramleyworks_lab import naive_vm


class OpenVm(naive_vm.NaiveVm):
    """Admits every request and distributes them by round robin.

    The local token buckets of the naive policy refuse part of the load and so
    shorten its queues; this policy shows the latency at the full load.
    """

    keeps_rates = False
