"""Schedule, traffic shares and verdicts of version moves."""

import dataclasses

from bramleyworks.document import move as move_module
from bramleyworks.policy import move_record

FULL_SHARE_PPM = 1_000_000
SHARES_PPM = (10_000, 20_000, 50_000, 100_000, 250_000, 500_000, FULL_SHARE_PPM)
LAST_STEP = len(SHARES_PPM) - 1
# Start of each step as a fraction of the time from start to deadline. Half of
# the time is spent at 1% and 2%, so that a fault that appears late affects a
# small share.
STEP_START_FRACTIONS = (0.0, 0.25, 0.5, 0.575, 0.65, 0.725, 0.8)
DONE_FRACTION = 0.85
# A driver that is behind schedule spends at least this fraction of the time on
# each step, so that each share is observed.
MIN_STEP_FRACTION = 0.02
DONE_MARGIN_S = 10.0
# A shorter move would leave the driver less than 5 s between DONE_FRACTION and
# DONE_MARGIN_S to write the verdict.
MIN_MOVE_DURATION_S = 100.0


def duration_s(move: move_module.Move) -> float:
    """Returns the time from start to deadline in seconds."""
    return max(move.deadline_s - move.start_s, 1e-3)


def scheduled_step(move: move_module.Move, now_s: float) -> int:
    """Returns the latest step that is due, or -1 before the start."""
    progress = (now_s - move.start_s) / duration_s(move)
    return sum(1 for start in STEP_START_FRACTIONS if progress >= start) - 1


def share_ppm(
    move: move_module.Move,
    record: move_record.MoveRecord | None,
    is_aborted: bool,
    now_s: float,
) -> int:
    """Returns the new version's share of requests that a daemon applies.

    Args:
        move: The move.
        record: Latest record known to the daemon.
        is_aborted: Whether the daemon knows that the move was aborted.
        now_s: Unix time in seconds.
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
    """Returns the record that the driver writes next.

    A verdict is final, except that an abort undoes a move that was recorded as
    done, because daemons that know of the abort never raise the share again.

    Args:
        move: The move.
        record: The record read from the store.
        abort_reason: Why the move is aborted, None if it is not.
        token: Fencing token of the driver, not below that of the record.
        now_s: Unix time in seconds.

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
    progress = (now_s - move.start_s) / duration_s(move)
    in_time = now_s <= move.deadline_s - DONE_MARGIN_S
    step_elapsed = now_s - record.time_s >= MIN_STEP_FRACTION * duration_s(move)
    if (
        in_time
        and step_elapsed
        and record.step >= LAST_STEP
        and progress >= DONE_FRACTION
    ):
        return dataclasses.replace(
            record,
            token=token,
            verdict="done",
            reason="all steps passed without fault evidence",
            time_s=now_s,
        )
    if in_time and step_elapsed and record.step < scheduled_step(move, now_s):
        step = record.step + 1
        return move_record.MoveRecord(
            token, step, SHARES_PPM[step], "running", "", now_s
        )
    if token != record.token:
        # Takes over the record, so that a write of the previous driver fails.
        return dataclasses.replace(record, token=token)
    return None


def is_fenced(records: dict[str, move_record.MoveRecord], token: int) -> bool:
    """Returns whether a driver with a higher token has written a record."""
    return any(record.token > token for record in records.values())


def _rolled_back(
    record: move_record.MoveRecord | None,
    reason: str,
    token: int,
    now_s: float,
) -> move_record.MoveRecord:
    step = record.step if record is not None else 0
    return move_record.MoveRecord(token, step, 0, "undone", reason, now_s)
