"""State machine of one VM for its entry in the ledger.

A VM uses its units and upstreams only while it has evidence that no other VM
may use them. The evidence is one of:

- its own read of the ledger, sent at most ``READ_VALID_S`` ago, that shows its
  entry;
- heartbeats, at most ``PEERS_VALID_S`` old, from at least one peer and from
  enough peers that they and the VM are a majority, none of them with a newer
  epoch.

Units and upstreams that were freed by a removal or a takeover are used only
``REMOVAL_WAIT_S`` after a majority is known to have read that epoch. Two
majorities intersect, so by then the former holder has lost both kinds of
evidence. The periods include one second for the delay of a message.
"""

import dataclasses
import math

import msgspec

from bramleyworks.policy import fleet_view
from bramleyworks.policy import ledger as ledger_lib
from bramleyworks.policy import ledger_entry
from bramleyworks.policy import token_bucket

READ_VALID_S = 4.0
PEERS_VALID_S = 3.0
REMOVAL_WAIT_S = 5.0
MEMBER_TIMEOUT_S = 10.0

PAUSE_THRESHOLD_S = 2.0
"""A longer gap in the monotonic clock means that the process was paused."""

SETTLE_S = 2.0
"""Heartbeats are evidence only after contact with a majority has lasted this
long, because after a pause or a partition buffered heartbeats arrive first."""

DEPOSIT_WAIT_S = token_bucket.LENDER_HOLD_S + 0.25
"""Time from lowering the local units to writing the deposit. Tokens lent under
the higher units have expired by then; the extra 0.25 s covers the interval of
the limit task."""

READ_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.5
JITTER = 0.2


@dataclasses.dataclass(frozen=True)
class Read:
    """Action to read the ledger."""


@dataclasses.dataclass(frozen=True)
class Write:
    """Action to write the ledger by compare-and-swap.

    Attributes:
        ledger: New value.
        expected_revision: Revision of the value it replaces, 0 if the store
            has none.
        audit_events: Kind and subject of the audit entries to record if the
            write takes effect.
    """

    ledger: ledger_lib.Ledger
    expected_revision: int
    audit_events: tuple[tuple[str, str], ...] = ()


Action = Read | Write


@dataclasses.dataclass(frozen=True)
class InDoubtWrite:
    """A write whose outcome is unknown.

    Attributes:
        expected_revision: Revision it would replace; reading a newer revision
            resolves it.
        units: Units of this VM if it took effect.
        upstreams: Upstreams of this VM if it took effect.
    """

    expected_revision: int
    units: int
    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True)
class ShareState:
    """What one VM knows of the ledger and of its own entry.

    Attributes:
        vm_id: Id of this VM.
        incarnation: Incarnation of this process.
        region: Region of this VM.
        started_s: Time since which this process has received heartbeats without
            a pause.
        known: Latest ledger read or written, None before the first read.
        revision: Its store revision, 0 if the store has none.
        joined: Whether this incarnation holds the entry, as last known.
        ever_joined: Whether it has ever held the entry. If so, an entry of
            another incarnation is a successor's, even after a removal.
        superseded: Whether a later incarnation has taken over the entry. The
            process then never writes again.
        ceiling: Upper bound of the local units, lowered before a deposit.
        ceiling_s: Time at which it was last lowered.
        doubts: Writes whose outcome is unknown.
        read_s: Time at which the latest read or write that confirms the entry
            was sent.
        peers_s: Time up to which a majority of members knew no newer epoch.
        contact_s: Time since which that has held without a gap, ``inf`` if it
            does not hold.
        held_epoch: Epoch at which this incarnation took the entry over from a
            predecessor, 0 if there was none.
        held_known_s: Time at which a majority was known to have read that
            epoch.
        removal_known_s: Time at which a majority was known to have read the
            ledger's ``removal_epoch``.
        next_call_s: Earliest time of the next call to the store.
        read_attempt_s: Time at which the latest read was started.
        stale_since_s: Time since which the known ledger may be stale, after a
            newer epoch at a peer, a failed call or a pause, ``inf`` if not.
        leaving: Whether the VM returns its entry for a planned stop.
        view: Latest view of the fleet.
        upstreams: Pairs of name and region of the document's upstreams.
    """

    vm_id: str
    incarnation: str
    region: str
    started_s: float
    known: ledger_lib.Ledger | None = None
    revision: int = 0
    joined: bool = False
    ever_joined: bool = False
    superseded: bool = False
    ceiling: int = ledger_lib.TOTAL_UNITS
    ceiling_s: float = -math.inf
    doubts: tuple[InDoubtWrite, ...] = ()
    read_s: float = -math.inf
    peers_s: float = -math.inf
    contact_s: float = math.inf
    held_epoch: int = 0
    held_known_s: float = math.inf
    removal_known_s: float = math.inf
    next_call_s: float = -math.inf
    read_attempt_s: float = -math.inf
    stale_since_s: float = math.inf
    leaving: bool = False
    view: fleet_view.FleetView | None = None
    upstreams: tuple[tuple[str, str], ...] = ()


def own_entry(state: ShareState) -> ledger_entry.LedgerEntry | None:
    """Returns the entry that this incarnation holds, as last known."""
    if state.known is None or not state.joined or state.superseded:
        return None
    entry = state.known.members.get(state.vm_id)
    if entry is None or entry.incarnation != state.incarnation:
        return None
    return entry


def epoch(state: ShareState) -> int:
    """Returns the latest known epoch, 0 before the first read."""
    return state.known.epoch if state.known is not None else 0


def valid_until_s(state: ShareState) -> float:
    """Returns the time until which the entry may be used."""
    if own_entry(state) is None:
        return -math.inf
    until_s = state.read_s + READ_VALID_S
    if state.peers_s >= state.contact_s + SETTLE_S:
        until_s = max(until_s, state.peers_s + PEERS_VALID_S)
    return until_s


def usable_from_s(state: ShareState) -> float:
    """Returns the time from which the entry may be used."""
    if state.held_epoch:
        return state.held_known_s + REMOVAL_WAIT_S
    return -math.inf


def local_units(state: ShareState) -> int:
    """Returns the units to use while the entry may be used.

    This is the minimum over all possible outcomes of writes in doubt.
    """
    entry = own_entry(state)
    if entry is None:
        return 0
    units = min(entry.units, state.ceiling)
    for doubt in state.doubts:
        units = min(units, doubt.units)
    return units


def local_upstreams(state: ShareState) -> frozenset[str]:
    """Returns the upstreams to own while the entry may be used.

    These are the upstreams owned under all possible outcomes of writes in
    doubt.
    """
    entry = own_entry(state)
    if entry is None:
        return frozenset()
    owned = frozenset(entry.upstreams)
    for doubt in state.doubts:
        owned &= doubt.upstreams
    return owned


def owners(state: ShareState) -> dict[str, str]:
    """Returns the owner of each upstream, as last known."""
    if state.known is None:
        return {}
    return {
        upstream: vm_id
        for vm_id, entry in state.known.members.items()
        for upstream in entry.upstreams
    }


def on_pause(state: ShareState, now_s: float) -> ShareState:
    """Drops all evidence after a pause, so that the entry is not usable."""
    return dataclasses.replace(
        state,
        started_s=now_s,
        read_s=-math.inf,
        peers_s=-math.inf,
        contact_s=math.inf,
        next_call_s=min(state.next_call_s, now_s),
        stale_since_s=now_s,
    )


def _voters(state: ShareState) -> frozenset[str]:
    """Returns the VMs of which a majority is needed.

    These are the VMs on the platform's list or, without a list, the members of
    the ledger. A VM that is not among them does not count itself, or one that
    was removed from the list could be a majority on its own.
    """
    view = state.view
    if view is not None and view.listed is not None:
        return view.listed
    return frozenset(state.known.members if state.known is not None else ())


def _heartbeat_times_s(
    state: ShareState, voters: frozenset[str], min_epoch: int, max_epoch: float
) -> list[float]:
    """Returns receive times of peers with epochs in a range, latest first.

    Only the latest heartbeat of each live peer counts. One that was received
    before ``started_s`` may have been sent long before.
    """
    return sorted(
        (
            peer.received_s
            for name, peer in state.view.live.items()
            if name in voters
            and name != state.vm_id
            and min_epoch <= peer.heartbeat.ledger_epoch <= max_epoch
            and peer.received_s >= state.started_s
        ),
        reverse=True,
    )


def _majority_confirmed_s(state: ShareState) -> float:
    """Returns the time up to which a majority knew no newer epoch.

    The VM's own vote can complete a majority but is not one by itself, because
    a second process of the same VM would have the same vote.
    """
    voters = _voters(state)
    # Epoch 0 means that the peer has not read the ledger yet.
    times_s = _heartbeat_times_s(state, voters, 1, epoch(state))
    needed = len(voters) // 2 + 1 - (state.vm_id in voters)
    if not 0 < needed <= len(times_s):
        return -math.inf
    return times_s[needed - 1]


def _is_read_by_majority(state: ShareState, since: int) -> bool:
    """Returns whether enough peers have read an epoch.

    The VM's own vote does not count, because a predecessor that still runs has
    the same vote. Half of the voters, rounded up, intersects every majority
    that includes that vote.
    """
    voters = _voters(state)
    if voters <= {state.vm_id}:
        return True
    times_s = _heartbeat_times_s(state, voters, max(1, since), math.inf)
    return len(times_s) >= (len(voters) + 1) // 2


def on_fleet(
    state: ShareState, now_s: float, view: fleet_view.FleetView, rnd: float
) -> ShareState:
    """Updates the evidence with a new view of the fleet.

    Args:
        state: State before.
        now_s: Time now.
        view: The new view.
        rnd: Random number in [0, 1) that spreads the VMs' reads.
    """
    state = dataclasses.replace(state, view=view)
    known_epoch = epoch(state)
    latest_epoch = max(
        (peer.heartbeat.ledger_epoch for peer in view.live.values()), default=0
    )
    if latest_epoch > known_epoch and state.stale_since_s == math.inf:
        state = dataclasses.replace(
            state,
            stale_since_s=now_s,
            next_call_s=max(state.next_call_s, now_s + rnd * JITTER),
        )
    return _update_evidence(state, now_s)


def _update_evidence(state: ShareState, now_s: float) -> ShareState:
    if state.known is None or state.view is None:
        return state
    peers_s = _majority_confirmed_s(state)
    contact_s = state.contact_s
    if peers_s + PEERS_VALID_S <= now_s:
        contact_s = math.inf
        peers_s = -math.inf
    elif contact_s == math.inf or state.peers_s + PEERS_VALID_S <= now_s:
        contact_s = now_s
    changes = {"peers_s": peers_s, "contact_s": contact_s}
    if state.removal_known_s == math.inf and _is_read_by_majority(
        state, state.known.removal_epoch
    ):
        changes["removal_known_s"] = now_s
    if (
        state.held_epoch
        and state.held_known_s == math.inf
        and epoch(state) >= state.held_epoch
        and _is_read_by_majority(state, state.held_epoch)
    ):
        changes["held_known_s"] = now_s
    return dataclasses.replace(state, **changes)


def on_upstreams(
    state: ShareState, upstreams: tuple[tuple[str, str], ...]
) -> ShareState:
    """Sets the document's upstreams as pairs of name and region."""
    return dataclasses.replace(state, upstreams=upstreams)


def on_leave(state: ShareState, now_s: float) -> ShareState:
    """Starts to return the entry to the ledger, for a planned stop."""
    if state.leaving:
        return state
    return dataclasses.replace(
        state, leaving=True, ceiling=0, ceiling_s=now_s, next_call_s=now_s
    )


def on_read(
    state: ShareState,
    sent_s: float,
    now_s: float,
    value: ledger_lib.Ledger | None,
    revision: int,
) -> ShareState:
    """Handles the result of a read.

    Args:
        state: State before.
        sent_s: Time at which the read was sent.
        now_s: Time now.
        value: The ledger, None if the store has none.
        revision: Its revision, 0 if the store has none.
    """
    if revision < state.revision:
        return state
    value = value if value is not None else ledger_lib.Ledger()
    if state.known is None or value.removal_epoch > state.known.removal_epoch:
        state = dataclasses.replace(state, removal_known_s=math.inf)
    entry = value.members.get(state.vm_id)
    is_own = entry is not None and entry.incarnation == state.incarnation
    changes = {
        "known": value,
        "revision": revision,
        "doubts": tuple(
            doubt
            for doubt in state.doubts
            if doubt.expected_revision >= revision
        ),
        "stale_since_s": math.inf,
    }
    if is_own:
        changes["joined"] = changes["ever_joined"] = True
        if sent_s >= state.started_s:
            changes["read_s"] = max(state.read_s, sent_s)
    elif state.ever_joined:
        changes.update(
            joined=False,
            superseded=state.superseded or entry is not None,
            read_s=-math.inf,
            ceiling=0 if state.leaving else ledger_lib.TOTAL_UNITS,
            held_epoch=0,
            held_known_s=math.inf,
        )
    state = dataclasses.replace(state, **changes)
    return _update_evidence(state, now_s)


def on_written(
    state: ShareState, sent_s: float, now_s: float, write: Write, revision: int
) -> ShareState:
    """Handles the confirmation of a write."""
    return on_read(state, sent_s, now_s, write.ledger, revision)


def on_failed(
    state: ShareState, now_s: float, rnd: float, conflict: bool = False
) -> ShareState:
    """Handles a failed call; the known ledger may be stale."""
    wait_s = JITTER if conflict else RETRY_INTERVAL_S
    return dataclasses.replace(
        state,
        stale_since_s=min(state.stale_since_s, now_s),
        next_call_s=now_s + wait_s * (0.5 + rnd),
    )


def on_tick(
    state: ShareState, now_s: float, rnd: float
) -> tuple[ShareState, Action | None]:
    """Decides the next call to the store, at most one at a time.

    Args:
        state: State before.
        now_s: Time now.
        rnd: Random number in [0, 1) that spreads the VMs' calls.

    Returns:
        The new state, in which a returned write is in doubt until the caller
        reports its outcome, and the call to make, None if there is none.
    """
    if state.superseded or now_s < state.next_call_s:
        return state, None
    if _needs_read(state, now_s, rnd):
        return dataclasses.replace(state, read_attempt_s=now_s), Read()
    state, write = _plan_write(state, now_s)
    if write is None and state.doubts:
        # A write in doubt may still reach the store. Only a newer revision
        # makes its compare-and-swap fail.
        write = Write(
            msgspec.structs.replace(state.known, epoch=state.known.epoch + 1),
            state.revision,
        )
    if write is None:
        return state, None
    entry = write.ledger.members.get(state.vm_id)
    doubt = InDoubtWrite(
        state.revision,
        entry.units if entry is not None else 0,
        frozenset(entry.upstreams) if entry is not None else frozenset(),
    )
    return (
        dataclasses.replace(
            state,
            doubts=(*state.doubts, doubt),
            next_call_s=now_s + JITTER * (0.5 + rnd),
        ),
        write,
    )


def _needs_read(state: ShareState, now_s: float, rnd: float) -> bool:
    if state.known is None or state.stale_since_s < math.inf:
        return True
    if state.contact_s + SETTLE_S <= now_s:
        return False
    last_s = max(state.read_s, state.read_attempt_s)
    return now_s - last_s >= READ_INTERVAL_S * (1 - JITTER * rnd)


def fair_units(value: ledger_lib.Ledger, others: frozenset[str]) -> int:
    """Returns the fair number of units of one VM.

    Args:
        value: The ledger.
        others: VMs that are live but may not have joined yet. Counting them
            avoids most deposits when all VMs start at the same time.
    """
    return value.total_units // max(1, len(others | value.members.keys()))


def _expected_members(state: ShareState) -> frozenset[str]:
    if state.view is None:
        return frozenset((state.vm_id,))
    live = frozenset(state.view.live)
    if state.view.listed is not None:
        live &= state.view.listed
    return live | {state.vm_id}


def _members_to_remove(state: ShareState, now_s: float) -> tuple[str, ...]:
    """Returns the members to remove from the ledger."""
    view = state.view
    if view is None or view.listed is None:
        return ()
    return tuple(
        vm_id
        for vm_id in state.known.members
        if vm_id != state.vm_id
        and vm_id not in view.listed
        and vm_id not in view.live
        and now_s - max(view.received_s.get(vm_id, -math.inf), state.started_s)
        >= MEMBER_TIMEOUT_S
    )


def _plan_write(
    state: ShareState, now_s: float
) -> tuple[ShareState, Write | None]:
    known = state.known
    entry = known.members.get(state.vm_id)
    if entry is not None and entry.incarnation != state.incarnation:
        if state.leaving:
            return state, None
        return _plan_takeover(state, entry)
    if state.leaving:
        return state, _plan_leave(state, now_s, entry)
    if entry is None and state.held_epoch:
        state = dataclasses.replace(state, held_epoch=0)
    members = dict(known.members)
    audit_events = []
    free_units = known.free_units
    removed = _members_to_remove(state, now_s)
    for vm_id in removed:
        free_units += members.pop(vm_id).units
        audit_events.append(("ledger.removed", vm_id))
    can_take_freed = not removed and (
        known.removal_epoch == 0
        or now_s >= state.removal_known_s + REMOVAL_WAIT_S
    )
    units = 0 if entry is None else entry.units
    owned = () if entry is None else entry.upstreams
    fair = fair_units(
        ledger_lib.Ledger(members=members, total_units=known.total_units),
        _expected_members(state),
    )
    if units > fair and _missing_units(members, fair, state) > free_units:
        if state.ceiling > fair:
            state = dataclasses.replace(state, ceiling=fair, ceiling_s=now_s)
        elif now_s >= state.ceiling_s + DEPOSIT_WAIT_S:
            free_units += units - state.ceiling
            units = state.ceiling
    else:
        if state.ceiling < ledger_lib.TOTAL_UNITS:
            state = dataclasses.replace(state, ceiling=ledger_lib.TOTAL_UNITS)
        if units < fair and can_take_freed and free_units:
            gain = min(fair - units, free_units)
            units += gain
            free_units -= gain
    upstreams = _fair_upstreams(state, members, owned, can_take_freed)
    changed = ledger_entry.LedgerEntry(
        state.incarnation, units, state.region, upstreams
    )
    if not removed and changed == entry:
        return state, None
    if entry is None:
        audit_events.append(("ledger.joined", state.vm_id))
    members[state.vm_id] = changed
    new_epoch = known.epoch + 1
    value = ledger_lib.Ledger(
        new_epoch,
        known.total_units,
        free_units,
        members,
        new_epoch if removed else known.removal_epoch,
    )
    return state, Write(value, state.revision, tuple(audit_events))


def _plan_takeover(
    state: ShareState, entry: ledger_entry.LedgerEntry
) -> tuple[ShareState, Write]:
    """Takes over the entry of a predecessor, which may still be running."""
    new_epoch = state.known.epoch + 1
    members = dict(state.known.members)
    members[state.vm_id] = ledger_entry.LedgerEntry(
        state.incarnation, entry.units, state.region, entry.upstreams
    )
    value = ledger_lib.Ledger(
        new_epoch,
        state.known.total_units,
        state.known.free_units,
        members,
        new_epoch,
    )
    return (
        dataclasses.replace(state, held_epoch=new_epoch, held_known_s=math.inf),
        Write(value, state.revision, (("ledger.taken_over", state.vm_id),)),
    )


def _plan_leave(
    state: ShareState, now_s: float, entry: ledger_entry.LedgerEntry | None
) -> Write | None:
    if entry is None or now_s < state.ceiling_s + DEPOSIT_WAIT_S:
        return None
    members = dict(state.known.members)
    del members[state.vm_id]
    value = ledger_lib.Ledger(
        state.known.epoch + 1,
        state.known.total_units,
        state.known.free_units + entry.units,
        members,
        state.known.removal_epoch,
    )
    return Write(value, state.revision, (("ledger.left", state.vm_id),))


def _missing_units(
    members: dict[str, ledger_entry.LedgerEntry], fair: int, state: ShareState
) -> int:
    """Returns the units missing to give every member its fair number."""
    lacking = sum(max(0, fair - entry.units) for entry in members.values())
    joining = _expected_members(state) - members.keys()
    return lacking + fair * len(joining)


def _fair_upstreams(
    state: ShareState,
    members: dict[str, ledger_entry.LedgerEntry],
    owned: tuple[str, ...],
    can_take_freed: bool,
) -> tuple[str, ...]:
    """Returns the upstreams that the VM should own.

    The VMs of a region share its upstreams; the upstreams of a region without
    a VM are shared by all VMs. A VM keeps the upstreams it owns where possible,
    because a new owner has to wait until the requests of the former owner have
    ended.
    """
    regions = {
        vm_id: entry.region
        for vm_id, entry in members.items()
        if vm_id != state.vm_id
    }
    regions[state.vm_id] = state.region
    vm_regions = frozenset(regions.values())
    other_owners = {
        upstream: vm_id
        for vm_id, entry in members.items()
        if vm_id != state.vm_id
        for upstream in entry.upstreams
    }
    own_upstreams = dict.fromkeys(owned, state.vm_id)
    pools: dict[str, list[str]] = {}
    for name, region in state.upstreams:
        pools.setdefault(region if region in vm_regions else "", []).append(
            name
        )
    wanted: list[str] = []
    for region, names in pools.items():
        if region and region != state.region:
            continue
        group = (
            [
                vm_id
                for vm_id, vm_region in regions.items()
                if vm_region == region
            ]
            if region
            else list(regions)
        )
        counts = dict.fromkeys(group, 0)
        unowned = []
        kept = []
        for name in sorted(names):
            holder = own_upstreams.get(name) or other_owners.get(name)
            if holder is None:
                unowned.append(name)
            elif holder in counts:
                counts[holder] += 1
                if holder == state.vm_id:
                    kept.append(name)
        floor, extra = divmod(len(names), len(group))
        ranked = sorted(group, key=lambda vm_id: (-counts[vm_id], vm_id))
        rank = ranked.index(state.vm_id)
        target = floor + (1 if rank < extra else 0)
        lacking = sum(max(0, floor - count) for count in counts.values())
        if len(kept) > target and lacking > len(unowned):
            kept = kept[:target]
        elif len(kept) < target and can_take_freed:
            kept += unowned[: target - len(kept)]
        wanted += kept
    return tuple(sorted(wanted))
