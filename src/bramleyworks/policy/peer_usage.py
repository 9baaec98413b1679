"""Totals of what peers report about the shared limits.

A report lists every organisation, but few of them change from one report to
the next. The totals are updated by the differences, so that the work follows
the changes and not the number of peers times the number of organisations.
"""

from collections.abc import Mapping

# Admitted requests since the peer's start, and demand, by organisation.
Report = Mapping[str, tuple[int, int]]

# Longest time without a report of a region for which requests are counted when
# another of its relays starts to report, in seconds.
RELAY_CHANGE_S = 3.0
# Demand is reported in tenths of a request per second.
DEMAND_PER_S = 10

# Lost peers whose counts are kept in case they report again.
MAX_LOST_PEERS = 256

_NONE = (0, 0)


class PeerUsage:
    """Sums of the latest reports of all peers."""

    def __init__(self):
        self._reports: dict[str, Report] = {}
        self._lost: dict[str, Report] = {}
        # VM that reported last for a region, and when.
        self._sources: dict[str, tuple[str, float]] = {}
        self._demand: dict[str, int] = {}
        self._admitted: dict[str, int] = {}

    @property
    def peer_count(self) -> int:
        """Number of peers whose reports are included."""
        return len(self._reports)

    def update(
        self,
        reports: Mapping[str, Report],
        sources: Mapping[str, str] | None = None,
        now_s: float = 0.0,
    ) -> None:
        """Replaces the reports of all peers.

        Args:
            reports: Latest report of each peer, by VM and incarnation, or by
                region. A report that did not change is the same object.
            sources: VM and incarnation that reports for a region, by region.
                The relays of a region count the same requests.
            now_s: Monotonic time in seconds.
        """
        for name in self._reports.keys() - reports.keys():
            report = self._reports.pop(name)
            self._lost[name] = report
            if len(self._lost) > MAX_LOST_PEERS:
                oldest = next(iter(self._lost))
                del self._lost[oldest]
                self._sources.pop(oldest, None)
            for organisation, (_, demand) in report.items():
                self._add_demand(organisation, -demand)
        for name, report in reports.items():
            known = self._reports.get(name)
            if known is not report:
                source = (sources or {}).get(name, "")
                last_source, last_s = self._sources.get(name, (source, now_s))
                if source:
                    self._sources[name] = source, now_s
                quiet_s = None
                if source != last_source:
                    quiet_s = min(RELAY_CHANGE_S, now_s - last_s)
                self._replace(name, known, report, quiet_s)

    def demand(self, organisation: str) -> int:
        """Returns the demand of all peers."""
        return self._demand.get(organisation, 0)

    def take_admitted(self, organisation: str) -> int:
        """Returns the requests that peers admitted since the last call."""
        return self._admitted.pop(organisation, 0)

    def _replace(
        self,
        name: str,
        known: Report | None,
        report: Report,
        quiet_s: float | None,
    ) -> None:
        """Replaces one report.

        Args:
            name: The peer or region.
            known: Its previous report, None if it had none.
            report: Its latest report.
            quiet_s: Seconds since the previous report if another relay of the
                region made it, else None. It may know requests of VMs that
                this one never heard.
        """
        self._reports[name] = report
        # The counts of a peer that was lost for a while go on from where they
        # were; those of a new peer are the start of its counts.
        counted = known if known is not None else self._lost.pop(name, None)
        for organisation, (admitted, demand) in report.items():
            old_demand = (known or {}).get(organisation, _NONE)[1]
            self._add_demand(organisation, demand - old_demand)
            if counted is None:
                continue
            added = admitted - counted.get(organisation, _NONE)[0]
            if quiet_s is not None:
                added = min(added, quiet_s * demand / DEMAND_PER_S)
            if added > 0:
                self._admitted[organisation] = self._admitted.get(
                    organisation, 0
                ) + int(added)
        for organisation in (known or {}).keys() - report.keys():
            self._add_demand(organisation, -known[organisation][1])

    def _add_demand(self, organisation: str, added: int) -> None:
        if added:
            self._demand[organisation] = (
                self._demand.get(organisation, 0) + added
            )
