"""Guards against shares that rise too early and verdicts that come too late."""

import hypothesis
from hypothesis import strategies

from bramleyworks.document import move as move_module
from bramleyworks.policy import move_record
from bramleyworks.policy import move_schedule

MOVE = move_module.Move("m", "s", "1", "2", 0.0, 1000.0)
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)


def allowed(now_s):
    """Returns the highest scheduled share, written as plain cases."""
    if now_s < 250:
        return 10_000
    if now_s < 500:
        return 20_000
    late = (50_000, 100_000, 250_000, 500_000, 1_000_000)
    return late[min(int((now_s - 500) / 75 + 1e-9), 4)]


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.floats(0.5, 60.0), min_size=20, max_size=60),
    strategies.none() | strategies.floats(0.0, 1100.0),
)
def test_steps_are_never_early_and_verdicts_never_late(gaps, abort_s):
    record, now_s, token = None, -50.0, 1
    for gap in gaps:
        now_s += gap
        token += int(gap) % 2
        reason = "bad" if abort_s is not None and now_s >= abort_s else None
        changed = move_schedule.next_record(MOVE, record, reason, token, now_s)
        if changed is None:
            continue
        assert changed.token == token
        if record is not None:
            assert record.verdict != "undone"
            assert changed.step in (record.step, record.step + 1)
        if changed.verdict == "done":
            assert record.share_ppm == move_schedule.FULL_SHARE_PPM
            assert now_s <= 990.0 or record.verdict == "done"
        elif changed.verdict == "undone":
            assert changed.share_ppm == 0
            assert reason or now_s >= 1000.0
        else:
            assert 0.0 <= now_s < 1000.0
            assert changed.share_ppm <= allowed(now_s)
        assert reason is None or changed.verdict == "undone"
        record = changed


@SETTINGS
@hypothesis.given(strategies.integers(100, 100_000), strategies.integers(0, 9))
def test_uninterrupted_driver_finishes_the_move(length_s, late_s):
    """A schedule too short for the last steps would undo good moves."""
    version_move = move_module.Move("m", "s", "1", "2", 0.0, float(length_s))
    record = None
    now_s = late_s / 10
    while now_s < length_s:
        changed = move_schedule.next_record(
            version_move, record, None, 1, now_s
        )
        record = changed or record
        now_s += max(3.0, length_s / 400)
    assert record.verdict == "done"


def test_done_is_recorded_before_the_margin_or_not_at_all():
    """A later verdict could race with the rollback on other daemons."""
    last = move_record.MoveRecord(
        1, 6, move_schedule.FULL_SHARE_PPM, "running", "", 800.0
    )
    for now_s, verdict in ((990.0, "done"), (990.1, None), (1000.0, "undone")):
        changed = move_schedule.next_record(MOVE, last, None, 1, now_s)
        assert (changed and changed.verdict) == verdict


def test_share_is_zero_after_the_deadline_without_a_verdict():
    record = move_schedule.next_record(MOVE, None, None, 1, 0.0)
    assert move_schedule.share_ppm(MOVE, record, False, 999.9) == 10_000
    assert move_schedule.share_ppm(MOVE, record, False, 1000.0) == 0
    assert move_schedule.share_ppm(MOVE, None, False, 10.0) == 0
