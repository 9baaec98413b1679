"""Aggregates the heartbeats of a region for other regions."""

import msgspec

from bramleyworks.gateway import heartbeat as heartbeat_module
from bramleyworks.gateway import rate_limits
from bramleyworks.gateway import region_report
from bramleyworks.gateway import service_pressure


class SummaryBuilder:
    """Builds summaries of the heartbeats of a region's VMs.

    Counts never decrease, even when a VM restarts or is lost, since receivers
    use the differences between summaries.
    """

    def __init__(self):
        self._last_admitted: dict[tuple[str, int], dict[str, int]] = {}
        self._total_admitted: dict[str, int] = {}

    def build(
        self,
        own: heartbeat_module.Heartbeat,
        members: list[heartbeat_module.Heartbeat],
        loads: dict[str, tuple[int, int]],
        limits: dict[str, rate_limits.Report],
        work_percents: dict[str, int] | None = None,
    ) -> heartbeat_module.Heartbeat:
        """Returns the summary of a region.

        Args:
            own: Heartbeat of the relay.
            members: Heartbeats of the other live VMs of its region.
            loads: Load reports of the region's upstreams, as in ``Heartbeat``.
            limits: Rate limits of the region's upstreams, likewise.
            work_percents: Work factors of these load reports, likewise.
        """
        heartbeats = [own, *members]
        demand: dict[str, float] = {}
        rates: dict[str, int] = {}
        for heartbeat in heartbeats:
            for service, slots in heartbeat.demand.items():
                demand[service] = round(demand.get(service, 0.0) + slots, 2)
            for name, (_, rate) in heartbeat.usage.items():
                rates[name] = rates.get(name, 0) + rate
        contacts: dict[str, int] = {}
        for heartbeat in heartbeats:
            for service, age in heartbeat.contacts.items():
                contacts[service] = min(age, contacts.get(service, age))
        self._add_admitted(heartbeats)
        return msgspec.structs.replace(
            own,
            demand=demand,
            # Organisations of VMs that were lost keep their counts: without
            # them, a later report would count all their requests again.
            usage={
                name: (self._total_admitted.get(name, 0), rates.get(name, 0))
                for name in {*rates, *self._total_admitted}
            },
            in_flight={},
            loads=loads,
            work_percents=work_percents,
            limits=limits,
            moves=_merge_moves(heartbeats),
            members={b.vm.id: b.vm.entry for b in heartbeats if b.is_ready},
            covered_vms=len(heartbeats),
            cut_off=[name for b in heartbeats for name in b.cut_off],
            contacts=contacts,
            regions=_merge_regions(heartbeats),
            pressure=service_pressure.pool(b.pressure for b in heartbeats),
        )

    def _add_admitted(
        self, heartbeats: list[heartbeat_module.Heartbeat]
    ) -> None:
        """Adds the requests that were admitted since the last summary."""
        for heartbeat in heartbeats:
            key = (heartbeat.vm.id, heartbeat.vm.incarnation)
            known = self._last_admitted.setdefault(key, {})
            for name, (admitted, _) in heartbeat.usage.items():
                added = max(0, admitted - known.get(name, 0))
                self._total_admitted[name] = (
                    self._total_admitted.get(name, 0) + added
                )
                known[name] = admitted


def _merge_moves(
    heartbeats: list[heartbeat_module.Heartbeat],
) -> dict[str, heartbeat_module.MoveReport]:
    """Merges the reports of the latest move of each service."""
    latest: dict[str, heartbeat_module.MoveReport] = {}
    for heartbeat in heartbeats:
        for service, report in heartbeat.moves.items():
            known = latest.get(service)
            if known is None or report.elapsed_s < known.elapsed_s:
                latest[service] = report
    found = {}
    for service, newest in latest.items():
        reports = [
            r
            for heartbeat in heartbeats
            if (r := heartbeat.moves.get(service)) is not None
            and r.order_id == newest.order_id
        ]
        counts: dict[str, tuple[int, int]] = {}
        open_counts: dict[str, tuple[int, int]] = {}
        for report in reports:
            _add_pairs(counts, report.counts)
            _add_pairs(open_counts, report.open_counts)
        found[service] = heartbeat_module.MoveReport(
            order_id=newest.order_id,
            elapsed_s=max(r.elapsed_s for r in reports),
            is_aborted=any(r.is_aborted for r in reports),
            is_drained=len(reports) == len(heartbeats)
            and all(r.is_drained for r in reports),
            counts=counts,
            open_counts=open_counts,
            is_confirmed=any(r.is_confirmed for r in reports),
        )
    return found


def _merge_regions(
    heartbeats: list[heartbeat_module.Heartbeat],
) -> dict[str, region_report.RegionReport]:
    """Merges the measurements of each service."""
    by_service: dict[str, list[region_report.RegionReport]] = {}
    for heartbeat in heartbeats:
        for service, report in heartbeat.regions.items():
            by_service.setdefault(service, []).append(report)
    return {
        service: merged
        for service, reports in by_service.items()
        if (merged := region_report.merge(reports)) is not None
    }


def _add_pairs(
    totals: dict[str, tuple[int, int]], pairs: dict[str, tuple[int, int]]
) -> None:
    """Adds pairs of numbers to the totals of the same keys."""
    for key, (first, second) in pairs.items():
        known = totals.get(key, (0, 0))
        totals[key] = known[0] + first, known[1] + second
