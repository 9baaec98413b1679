"""Schedule, shares and verdicts of version moves."""

import dataclasses

from bramleyworks.document import move as move_module
from bramleyworks.policy import move_record

FULL_SHARE_PPM = 1_000_000
SHARES_PPM = (10_000, 20_000, 50_000, 100_000, 250_000, 500_000, FULL_SHARE_PPM)
LAST_STEP = len(SHARES_PPM) - 1
# Time of each step as a part of the time from start to deadline. Half of the
# time is spent at 1% and 2%, so that a late fault meets a small share.
STEP_START_FRACTIONS = (0.0, 0.25, 0.5, 0.575, 0.65, 0.725, 0.8)
DONE_FRACTION = 0.85
# A driver that is behind schedule waits this part of the time between two
# steps, so that each share is observed.
MIN_STEP_FRACTION = 0.02
DONE_MARGIN_S = 10.0
# Below this length less than 5 s would be left between DONE_AT and
# DONE_MARGIN_S for the driver to write the verdict.
MIN_MOVE_DURATION_S = 100.0


def duration_s(move: move_module.Move) -> float:
    """Returns the time from start to deadline in seconds."""
    return max(move.deadline_s - move.start_s, 1e-3)


def scheduled_step(move: move_module.Move, now_s: float) -> int:
    """Returns the highest step whose time has come, -1 before the start."""
    part = (now_s - move.start_s) / duration_s(move)
    return sum(1 for at in STEP_START_FRACTIONS if part >= at) - 1


def share_ppm(
    move: move_module.Move,
    record: move_record.MoveRecord | None,
    is_aborted: bool,
    now_s: float,
) -> int:
    """Returns the share of the new version that a daemon applies.

    Args:
        move: The move.
        record: Newest record that the daemon knows.
        is_cut: Whether the daemon knows a cut of this move.
        now_s: Unix time.
    """
    if is_aborted or record is None or record.verdict == "undone":
        return 0
    if record.verdict == "done":
        return FULL_SHARE_PPM
    if now_s >= move.deadline_s:
        return 0
    return min(record.share_ppm, FULL_SHARE_PPM)


def next_record(
    move: move_module.Move,
    record: move_record.MoveRecord | None,
    abort_reason: str | None,
    token: int,
    now_s: float,
) -> move_record.MoveRecord | None:
    """Decides what the driver writes next.

    A verdict is final, except that a cut undoes a move that was recorded as
    done, because daemons that know the cut never raise the share again.

    Args:
        move: The move.
        record: The record as read from the store.
        cut_reason: Evidence of a cut, None without one.
        token: Fencing token of the driver, not below that of the record.
        now_s: Unix time.

    Returns:
        The new record, or None if nothing changes.
    """
    if record is not None and record.verdict == "undone":
        return None
    if abort_reason is not None:
        return _rolled_back(record, abort_reason, token, now_s)
    if record is not None and record.verdict == "done":
        return None
    if now_s >= move.deadline_s:
        return _rolled_back(record, "the deadline has passed", token, now_s)
    if record is None:
        if now_s < move.start_s:
            return None
        return move_record.MoveRecord(
            token, 0, SHARES_PPM[0], "running", "", now_s
        )
    part = (now_s - move.start_s) / duration_s(move)
    in_time = now_s <= move.deadline_s - DONE_MARGIN_S
    rested = now_s - record.time_s >= MIN_STEP_FRACTION * duration_s(move)
    if (
        in_time
        and rested
        and record.step >= LAST_STEP
        and part >= DONE_FRACTION
    ):
        return dataclasses.replace(
            record,
            token=token,
            verdict="done",
            reason="all steps passed without fault evidence",
            time_s=now_s,
        )
    if in_time and rested and record.step < scheduled_step(move, now_s):
        step = record.step + 1
        return move_record.MoveRecord(
            token, step, SHARES_PPM[step], "running", "", now_s
        )
    if token != record.token:
        # Claims the record, so that a write of the former driver fails.
        return dataclasses.replace(record, token=token)
    return None


def is_fenced(records: dict[str, move_record.MoveRecord], token: int) -> bool:
    """Returns whether a later driver than that of ``token`` has written."""
    return any(record.token > token for record in records.values())


def _rolled_back(
    record: move_record.MoveRecord | None,
    reason: str,
    token: int,
    now_s: float,
) -> move_record.MoveRecord:
    step = record.step if record is not None else 0
    return move_record.MoveRecord(token, step, 0, "undone", reason, now_s)
