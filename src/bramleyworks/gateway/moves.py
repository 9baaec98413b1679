"""Moves of services to other versions."""

from collections.abc import Callable
from collections.abc import Mapping

from absl import logging

from bramleyworks.gateway import heartbeat as heartbeat_module
from bramleyworks.gateway import move_order
from bramleyworks.gateway import move_state
from bramleyworks.gateway import version_evidence
from bramleyworks.policy import canary_share
from bramleyworks.policy import canary_verdict
from bramleyworks.policy import rendezvous
from bramleyworks.policy import weighted_round_robin

# Requests that the new version may get because of popular objects, as a
# multiple of its share.
MAX_SHARE_RATIO = 1.3
ALL_ROUTES = "on all routes"
ALL_NEAR_DEADLINE = ALL_ROUTES + version_evidence.NEAR_DEADLINE_SUFFIX
NO_EVIDENCE = canary_verdict.Counts()


class _Move:
    """The move of one service.

    Attributes:
        order: The move order.
        started_s: Monotonic time of the start in seconds.
        updated_s: Monotonic time of the last update of the share in seconds.
        share: Share of requests for the new version.
        is_aborted: Whether the new version was judged to be faulty.
        is_confirmed: Whether it was judged to be good. The share follows the
            schedule from then on, until the version is judged to be faulty.
        evidence: This VM's evidence about both versions.
        alarms: Alarms by route, and for all routes together.
        round_robins: Choice of versions for requests without object, by route.
        object_counts: Requests with an object, and those of them sent to the
            new version, by route.
    """

    def __init__(self, order: move_order.MoveOrder, now_s: float):
        self.order = order
        self.started_s = now_s
        self.updated_s = now_s
        self.share = canary_share.INITIAL_SHARE
        self.is_aborted = False
        self.is_confirmed = False
        self.evidence = version_evidence.VersionEvidence()
        self.alarms: dict[str, canary_verdict.Alarm] = {}
        self.round_robins: dict[
            str, weighted_round_robin.WeightedRoundRobin
        ] = {}
        self.object_counts: dict[str, list[int]] = {}


class Moves:
    """Chooses versions, merges evidence and determines states to record.

    There is no leader: every VM evaluates the merged evidence by the same
    rule, and the first one to record an outcome by compare-and-swap decides.
    """

    def __init__(self, clock: Callable[[], float]):
        """Initializes the moves, none at first.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._moves: dict[str, _Move] = {}
        self._states: dict[str, move_state.MoveState] = {}

    def update_order(
        self, service: str, order: move_order.MoveOrder | None
    ) -> None:
        """Handles a move order, None if it was withdrawn."""
        if order is None:
            self._moves.pop(service, None)
            return
        known = self._moves.get(service)
        if known is None or known.order != order:
            self._moves[service] = _Move(order, self._clock())
            logging.info(
                "move of %s to %s ordered, duration %.1f s",
                service,
                order.to_version,
                order.duration_s,
            )

    def update_state(
        self, service: str, state: move_state.MoveState | None
    ) -> None:
        """Handles the recorded state of a move, None if it was removed."""
        if state is None:
            self._states.pop(service, None)
            return
        self._states[service] = state
        logging.info(
            "move of %s to %s is %s",
            service,
            state.to_version,
            state.phase.value,
        )

    def eligible_versions(
        self, service: str, base: str | None, known: set[str]
    ) -> set[str]:
        """Returns the versions that requests may be sent to.

        Args:
            service: Name of the service.
            base: Version that serves while no move is ordered.
            known: Versions that upstreams run.
        """
        move = self._moves.get(service)
        phase = self._phase(service)
        to_version = self.target_version(service)
        if phase is move_state.MovePhase.DONE:
            return {to_version}
        if move is None or self._is_aborted(service):
            allowed = {base} if base is not None else set()
            if to_version is not None and base == to_version:
                allowed = known - {to_version}
            return allowed
        return {v for v in (base, to_version) if v is not None}

    def base_version(self, service: str) -> str | None:
        """Returns the version that serves after a finished move, if any."""
        state = self._states.get(service)
        if state and state.phase is move_state.MovePhase.DONE:
            return state.to_version
        return None

    def choose_version(
        self, service: str, route: str, object_key: str, base: str | None
    ) -> str | None:
        """Returns the version for one request, None for any eligible one.

        Requests for the same object go to the same version, so that the
        upstreams of either version have their objects cached.

        Args:
            service: Service of the request.
            route: Name of its route.
            object_key: Object of the request, empty for none.
            base: Version that served before the move.
        """
        move = self._moves.get(service)
        if (
            move is None
            or self._phase(service) is not None
            and (self._phase(service) is not move_state.MovePhase.RUNNING)
        ):
            return None
        share = move.share
        if object_key:
            return self._version_for_object(
                move, route, object_key, share, base
            )
        round_robin = move.round_robins.setdefault(
            route, weighted_round_robin.WeightedRoundRobin()
        )
        weights = {move.order.to_version: share, base or "": 1.0 - share}
        return round_robin.next(weights)

    def _version_for_object(
        self,
        move: _Move,
        route: str,
        object_key: str,
        share: float,
        base: str | None,
    ) -> str | None:
        counts = move.object_counts.setdefault(route, [0, 0])
        counts[0] += 1
        wanted = rendezvous.fraction(object_key, move.order.to_version) < share
        if wanted and (
            share >= 1.0 or counts[1] <= MAX_SHARE_RATIO * share * counts[0]
        ):
            counts[1] += 1
            return move.order.to_version
        return base

    def is_moving(self, service: str) -> bool:
        """Returns whether a move of a service is ordered and not finished."""
        return service in self._moves and self._is_running(service)

    def observe(
        self,
        service: str,
        version: str,
        route: str,
        slow_after_s: float,
        is_near_deadline: bool = False,
    ) -> version_evidence.Observation:
        """Starts to observe an attempt; a move has to be ordered.

        Args:
            service: Service of the request.
            version: Version of the upstream.
            route: Route of the request.
            slow_after_s: Seconds after which a response is bad.
            is_near_deadline: Whether a good version may miss its deadline.
        """
        evidence = self._moves[service].evidence
        return evidence.observe(version, route, slow_after_s, is_near_deadline)

    def summary(self) -> dict[str, dict]:
        """Returns share and evidence of running moves, for logs."""
        return {
            service: {
                "to_version": move.order.to_version,
                "share": round(move.share, 3),
                "is_confirmed": move.is_confirmed,
                "alarms": {
                    where: round(alarm.level, 1)
                    for where, alarm in move.alarms.items()
                    if alarm.level
                },
                "judged_bad_open_uncounted": move.evidence.summary(),
            }
            for service, move in self._moves.items()
            if self._is_running(service)
        }

    def is_undecided(self, service: str, version: str) -> bool:
        """Returns whether a version is the target of a running move."""
        move = self._moves.get(service)
        return (
            move is not None
            and move.order.to_version == version
            and self._is_running(service)
        )

    def merge_reports(
        self,
        peers: list[dict[str, heartbeat_module.MoveReport]],
        visible_fraction: float,
    ) -> None:
        """Merges the reports of peers and evaluates the evidence of all.

        Args:
            peers: Reports of each peer by service.
            visible_fraction: Fraction of all VMs that these and this VM are.
        """
        now_s = self._clock()
        for service, move in self._moves.items():
            reports = [
                r
                for peer in peers
                if (r := peer.get(service)) is not None
                and r.order_id == move.order.id
            ]
            for report in reports:
                move.started_s = min(move.started_s, now_s - report.elapsed_s)
                if report.is_aborted and not move.is_aborted:
                    move.is_aborted = True
                    logging.info("move of %s aborted by a peer", service)
                move.is_confirmed |= report.is_confirmed
            if not move.is_aborted and self._is_running(service):
                self._evaluate(service, move, reports, visible_fraction)
            if self._is_aborted(service):
                move.share = 0.0

    def build_reports(
        self, in_flight: Callable[[str, str], int]
    ) -> dict[str, heartbeat_module.MoveReport]:
        """Returns this VM's reports on running moves, for its heartbeat.

        Args:
            in_flight: Returns the number of this VM's requests in flight on
                versions of a service other than the given one.
        """
        now_s = self._clock()
        return {
            service: heartbeat_module.MoveReport(
                order_id=move.order.id,
                elapsed_s=now_s - move.started_s,
                is_aborted=move.is_aborted,
                is_drained=move.share >= 1.0
                and in_flight(service, move.order.to_version) == 0,
                counts={
                    k: (c.responses, c.bad)
                    for k, c in move.evidence.counts().items()
                },
                open_counts={
                    k: (c.open, c.overdue)
                    for k, c in move.evidence.counts().items()
                },
                is_confirmed=move.is_confirmed,
            )
            for service, move in self._moves.items()
            if self._is_running(service)
        }

    def due_states(
        self,
        own: Mapping[str, heartbeat_module.MoveReport],
        peers: list[dict[str, heartbeat_module.MoveReport]],
        is_lost: Callable[[str], bool],
    ) -> list[tuple[str, move_state.MoveState]]:
        """Returns the services and states that should be recorded now.

        Args:
            own: This VM's reports by service.
            peers: Reports of each peer by service.
            is_lost: Returns whether the store has lost the state of a service.
        """
        due = [
            (service, state)
            for service, state in self._states.items()
            if is_lost(service)
        ]
        for service, move in self._moves.items():
            phase = self._phase(service)
            if phase in (
                move_state.MovePhase.DONE,
                move_state.MovePhase.REVERTED,
            ):
                continue
            reports = [own.get(service), *(p.get(service) for p in peers)]
            all_drained = all(
                r is not None and r.order_id == move.order.id and r.is_drained
                for r in reports
            )
            if move.is_aborted:
                next_phase = move_state.MovePhase.REVERTED
            elif all_drained:
                next_phase = move_state.MovePhase.DONE
            elif phase is None:
                next_phase = move_state.MovePhase.RUNNING
            else:
                continue
            state = move_state.MoveState(move.order.to_version, next_phase)
            due.append((service, state))
        return due

    def _evaluate(
        self,
        service: str,
        move: _Move,
        reports: list[heartbeat_module.MoveReport],
        visible_fraction: float,
    ) -> None:
        """Judges the new version and updates its share."""
        pairs = _pairs(move.order.to_version, _totals(move, reports))
        now_s = self._clock()
        since_s = now_s - move.updated_s
        move.updated_s = now_s
        for where, (new, old) in pairs.items():
            alarm = canary_verdict.advance(
                move.alarms.get(where, canary_verdict.Alarm()),
                new,
                old,
                since_s,
            )
            move.alarms[where] = alarm
            if canary_verdict.is_faulty(alarm):
                self._abort(service, move, where, new)
                return
        is_suspect = any(
            canary_verdict.is_suspect(move.alarms[where], old)
            for where, (_, old) in pairs.items()
        )
        # Attempts near their deadlines and the others, each on all routes.
        strata = [
            pairs[where]
            for where in (ALL_ROUTES, ALL_NEAR_DEADLINE)
            if where in pairs
        ]
        new = NO_EVIDENCE
        for counts, _ in strata:
            new = canary_verdict.add(new, counts)
        may_go_on = all(
            canary_verdict.may_go_on(counts, old) for counts, old in strata
        )
        if (
            not move.is_confirmed
            and not is_suspect
            and may_go_on
            and any(
                canary_verdict.is_confirmed(counts, old)
                for counts, old in strata
            )
        ):
            move.is_confirmed = True
            logging.info(
                "move of %s to %s confirmed: %d of %d responses were good",
                service,
                move.order.to_version,
                new.responses - new.bad,
                new.responses,
            )
        if move.is_confirmed:
            may_rise = _may_rise_confirmed(move, is_suspect)
        else:
            may_rise = (
                not is_suspect
                and may_go_on
                and canary_share.is_in_trial(
                    new.responses + new.open, visible_fraction
                )
            )
        elapsed_s = now_s - move.started_s
        _update_share(move, may_rise, elapsed_s, since_s)
        is_late = canary_share.is_too_late(
            elapsed_s, move.order.duration_s, visible_fraction
        )
        if is_late and not may_rise and move.share < 1.0:
            self._abort(service, move, "and too few good until the end", new)

    def _abort(
        self,
        service: str,
        move: _Move,
        where: str,
        counts: canary_verdict.Counts,
    ) -> None:
        move.is_aborted = True
        logging.info(
            "move of %s to %s aborted: %d of %d responses were bad %s",
            service,
            move.order.to_version,
            counts.bad,
            counts.responses,
            where,
        )

    def _is_aborted(self, service: str) -> bool:
        move = self._moves.get(service)
        reverted = move_state.MovePhase.REVERTED
        return (
            bool(move and move.is_aborted) or self._phase(service) is reverted
        )

    def _is_running(self, service: str) -> bool:
        return self._phase(service) in (
            None,
            move_state.MovePhase.RUNNING,
        )

    def _phase(self, service: str) -> move_state.MovePhase | None:
        """Returns the recorded phase if it belongs to the latest order."""
        state = self._states.get(service)
        move = self._moves.get(service)
        if state is None:
            return None
        if move is not None and move.order.to_version != state.to_version:
            return None
        return state.phase

    def target_version(self, service: str) -> str | None:
        """Returns the version of the latest move order or recorded state."""
        move = self._moves.get(service)
        if move is not None:
            return move.order.to_version
        state = self._states.get(service)
        return state.to_version if state is not None else None


def _may_rise_confirmed(move: _Move, is_suspect: bool) -> bool:
    """Returns whether the share of a confirmed version may rise.

    At a large share only responses count, since hardly any requests of the old
    version are open that those of the new one could be compared with.
    """
    if _is_alarmed(move):
        return False
    return not is_suspect or move.share >= canary_share.MAX_RETREAT_SHARE


def _is_alarmed(move: _Move) -> bool:
    return any(map(canary_verdict.is_alarmed, move.alarms.values()))


def _update_share(
    move: _Move, may_rise: bool, elapsed_s: float, since_s: float
) -> None:
    """Updates the share.

    Args:
        move: The move.
        may_rise: Whether the evidence lets it rise.
        elapsed_s: Seconds since the start of the move.
        since_s: Seconds since the last update.
    """
    duration_s = move.order.duration_s
    if may_rise:
        schedule = (
            canary_share.scheduled if move.is_confirmed else canary_share.trial
        )
        move.share = canary_share.approach(
            move.share, schedule(elapsed_s, duration_s), since_s, duration_s
        )
    elif not move.is_confirmed:
        move.share = min(move.share, canary_share.HOLD_SHARE)
    elif _is_alarmed(move):
        move.share = canary_share.retreat(move.share, since_s)


def _pairs(
    to_version: str, totals: dict[str, canary_verdict.Counts]
) -> dict[str, tuple[canary_verdict.Counts, canary_verdict.Counts]]:
    """Returns the evidence about the new version and the old one.

    Args:
        to_version: The new version.
        totals: Evidence of all known VMs by ``VERSION ROUTE``.

    Returns:
        Both versions' counts by route, and of all routes together. Attempts
        near their deadlines are apart.
    """
    pairs = {}
    for key, counts in totals.items():
        version, route = key.split(" ", 1)
        is_near = route.endswith(version_evidence.NEAR_DEADLINE_SUFFIX)
        everywhere = ALL_NEAR_DEADLINE if is_near else ALL_ROUTES
        for where in (f"on {route}", everywhere):
            new, old = pairs.get(where, (NO_EVIDENCE, NO_EVIDENCE))
            if version == to_version:
                new = canary_verdict.add(new, counts)
            else:
                old = canary_verdict.add(old, counts)
            pairs[where] = (new, old)
    for where, (new, old) in pairs.items():
        if where.endswith(version_evidence.NEAR_DEADLINE_SUFFIX):
            pairs[where] = (new, canary_verdict.near_deadline_baseline(old))
    return pairs


def _totals(
    move: _Move, reports: list[heartbeat_module.MoveReport]
) -> dict[str, canary_verdict.Counts]:
    """Returns the evidence of this VM and its peers by ``VERSION ROUTE``."""
    totals = move.evidence.counts()
    for report in reports:
        for key, (responses, bad) in report.counts.items():
            counted = canary_verdict.Counts(
                responses, bad, *report.open_counts.get(key, (0, 0))
            )
            known = totals.get(key, canary_verdict.Counts())
            totals[key] = canary_verdict.add(known, counted)
    return totals
