"""The naive policy without rates."""

from bramleyworks_lab import naive_vm


class OpenVm(naive_vm.NaiveVm):
    """Round robin for every request.

    The local buckets of the naive policy refuse a part of the load and so
    shorten its queues; this one shows its latency at the whole load.
    """

    keeps_rates = False
