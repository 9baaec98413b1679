"""Heartbeat messages that entry VMs send each other.

Most of the bytes of a heartbeat describe organisations and members that rarely
change, and bandwidth between failure domains is expensive. Only changes are
sent between two full heartbeats. A delta holds absolute values, so a lost
datagram only makes the received state older.
"""

import math

import msgspec

from bramleyworks.gateway import region_report
from bramleyworks.gateway import vm as vm_module
from bramleyworks.platform import kv_position

# Heartbeats from one with measurements by region to the next. They take about
# 90 bytes a service, and cover the last seconds.
REGIONS_EVERY = 2


# Numbers that relays add up; their sums have to stay below the 64 bits that a
# message can hold.
MAX_SUMMED = 2**40


class MoveReport(msgspec.Struct, frozen=True, array_like=True):
    """A VM's view of the move of one service.

    Attributes:
        order_id: Identifies the move order.
        elapsed_s: Seconds since the move started.
        is_aborted: Whether the new version was judged to be faulty.
        is_drained: Whether no request of this VM runs on the old version, and
            none will be sent to it.
        counts: Responses and bad responses by ``VERSION ROUTE``.
        open_counts: Requests that upstreams work on, and those of them that
            take longer than usual, likewise.
        is_confirmed: Whether the new version was judged to be good.
    """

    order_id: int
    elapsed_s: float
    is_aborted: bool
    is_drained: bool
    counts: dict[str, tuple[int, int]]
    open_counts: dict[str, tuple[int, int]] = {}
    is_confirmed: bool = False


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """State of a VM, or the summary of a region; the latest one is valid.

    Attributes:
        vm: The sender.
        sequence: Increases with each heartbeat of an incarnation.
        is_ready: Whether the sender accepts callers.
        revision: Store revision up to which the sender has all changes.
        era: Era of the store that the revision belongs to.
        config: Version of the configuration in force, 0 for none.
        store_age_s: Seconds since the store last responded to the sender.
        demand: Slots needed by the requests of its callers, by service.
        usage: Requests admitted since its start, and the rate of requests that
            it was asked to admit in tenths of a request per second, by
            organisation.
        in_flight: Requests in flight by upstream.
        moves: Moves by service.
        loads: Requests at each upstream as last reported to the sender, or, in
            a summary, to any VM of its region, and the age of the report in
            hundredths of a second.
        quarantine: Requests that ended upstreams, as in ``quarantine.Report``.
            What has not changed lately is part of full heartbeats only.
        limits: Rate limits that upstreams name, as in ``rate_limits.Report``:
            start of the upstream, requests per second or None, and the age of
            the report in hundredths of a second.
        members: Entry addresses by id of the VMs that accept callers, if this
            is the summary of a region; otherwise empty.
        covered_vms: Number of VMs that a summary covers, 0 if this is the
            heartbeat of the sender alone.
        cut_off: Ids of the VMs that are covered and reach no upstream.
        contacts: Age of the last response of an upstream to a VM that is
            covered, in hundredths of a second by service.
        is_exact: Whether the sender's replica has every change up to its
            revision; False from earlier builds.
        pressure: Recent requests and refused ones in tenths, and the share of
            busy slots in thousandths, by service.
        is_full: Whether ``usage``, ``limits`` and ``members`` are complete. In
            a delta, the first two have the changes since the last full
            heartbeat, and ``members`` is omitted because it did not change.
        regions: Measurements by service where the plan for uneven regions is
            in effect. Deltas may leave them out.
        work_percents: How long work took on the machines of the upstreams of
            ``loads``, in percent of the usual time, where it is not usual;
            None from earlier builds, which do not know it.
    """

    vm: vm_module.Vm
    sequence: int
    is_ready: bool
    revision: int
    store_age_s: float
    demand: dict[str, float]
    usage: dict[str, tuple[int, int]]
    in_flight: dict[str, int]
    moves: dict[str, MoveReport]
    loads: dict[str, tuple[int, int]] = {}
    members: dict[str, str] = {}
    covered_vms: int = 0
    is_full: bool = True
    limits: dict[str, tuple[int, float | None, int]] = {}
    era: int = 0
    config: int = 0
    quarantine: dict[str, tuple[list[int], list[int], int, float]] = {}
    cut_off: list[str] = []
    contacts: dict[str, int] = {}
    is_exact: bool = False
    regions: dict[str, region_report.RegionReport] = {}
    work_percents: dict[str, int] | None = None
    pressure: dict[str, tuple[int, int, int]] = {}

    @property
    def position(self) -> kv_position.Position:
        """Position in the store up to which the sender has all changes."""
        return kv_position.Position(self.era, self.revision)

    def check(self) -> None:
        """Checks what decoding by type does not.

        Raises:
            ValueError: An address is malformed, or a number is impossible.
        """
        self.vm.check()
        numbers = [self.store_age_s, *self.demand.values()]
        for found in (self.usage, self.loads, self.pressure):
            for figures in found.values():
                numbers.extend(figures)
        numbers.extend(self.in_flight.values())
        numbers.extend(self.contacts.values())
        numbers.extend((self.work_percents or {}).values())
        for ended, cleared, trials, age_s in self.quarantine.values():
            numbers.extend((*ended, *cleared, trials, age_s))
        for report in self.moves.values():
            numbers.append(report.elapsed_s)
            for pairs in (report.counts, report.open_counts):
                for pair in pairs.values():
                    numbers.extend(pair)
        for _, rate_per_s, hundredths in self.limits.values():
            numbers.extend((rate_per_s or 0.0, hundredths))
        for region in self.regions.values():
            numbers.extend(region.numbers())
            if region.vms < 1:
                raise ValueError("a report of a region covers no VM")
        if not all(number >= 0 and math.isfinite(number) for number in numbers):
            raise ValueError("a number is negative or not finite")
        summed = [n for found in self.usage.values() for n in found]
        summed.extend(n for found in self.pressure.values() for n in found)
        summed.extend(n for r in self.regions.values() for n in r.numbers())
        if max(summed, default=0) > MAX_SUMMED:
            raise ValueError("a number is too large")


class DeltaEncoder:
    """Encodes the heartbeats of one sender as full ones and deltas."""

    def __init__(self, full_every: int):
        """Initializes the encoder; the first heartbeat is a full one.

        Args:
            full_every: Number of heartbeats from one full one to the next.
        """
        self._full_every = full_every
        self._last_full: Heartbeat | None = None
        self._sent_since_full = 0

    def reset(self) -> None:
        """Makes the next heartbeat a full one."""
        self._last_full = None

    @property
    def is_full_due(self) -> bool:
        """Whether the next heartbeat is a full one in any case."""
        return (
            self._last_full is None
            or self._sent_since_full + 1 >= self._full_every
        )

    def encode(self, heartbeat: Heartbeat) -> Heartbeat:
        """Returns the heartbeat to send, full or as a delta."""
        last_full = self._last_full
        is_full = self.is_full_due or heartbeat.members != last_full.members
        self._sent_since_full += 1
        if is_full:
            self._last_full = heartbeat
            self._sent_since_full = 0
            return heartbeat
        removed = last_full.usage.keys() - heartbeat.usage.keys()
        changed = {
            name: usage
            for name, usage in heartbeat.usage.items()
            if usage != last_full.usage.get(name)
        }
        return msgspec.structs.replace(
            heartbeat,
            usage=changed | dict.fromkeys(removed, (0, 0)),
            members={},
            regions={}
            if self._sent_since_full % REGIONS_EVERY
            else heartbeat.regions,
            limits={
                name: report
                for name, report in heartbeat.limits.items()
                if report[:2] != last_full.limits.get(name, ())[:2]
            },
            is_full=False,
        )


def apply_delta(
    heartbeat: Heartbeat, previous: Heartbeat | None
) -> Heartbeat | None:
    """Returns a received heartbeat as a full one.

    Args:
        heartbeat: The received heartbeat, full or a delta.
        previous: The last full state of the same VM, None if there is none.

    Returns:
        A full heartbeat; None if it is a delta to a state that is not known.
    """
    if heartbeat.is_full:
        return heartbeat
    if previous is None or previous.vm.incarnation != heartbeat.vm.incarnation:
        return None
    return msgspec.structs.replace(
        heartbeat,
        usage=previous.usage | heartbeat.usage,
        members=previous.members,
        regions=heartbeat.regions or previous.regions,
        is_full=True,
    )
