"""Guards against one organisation starving another in the queue."""

import hypothesis
from hypothesis import strategies

from bramleyworks.policy import fair_queue

ACCEPT_ALL = lambda entry: True  # noqa: E731


def serve(queue, count, now_s):
    """Serves requests of equal duration one after the other."""
    order = []
    for _ in range(count):
        entry = queue.pop(now_s, ACCEPT_ALL)
        queue.record_start(entry.organisation, now_s)
        queue.record_end(entry.organisation)
        order.append(entry.organisation)
        now_s += 0.01
    return order


def test_large_backlog_does_not_delay_another_organisation():
    queue = fair_queue.FairQueue(100, {})
    for i in range(100):
        queue.push("big", i, 1e9, (), 0.0)
    assert "small" not in serve(queue, 20, 0.0)
    for i in range(5):
        queue.push("small", i, 1e9, (), 0.2)
    assert serve(queue, 10, 0.2).count("small") == 5


def test_slots_are_shared_by_weight():
    queue = fair_queue.FairQueue(1000, {"heavy": 3.0, "light": 1.0})
    for i in range(400):
        queue.push("heavy", i, 1e9, (), 0.0)
        queue.push("light", i, 1e9, (), 0.0)
    assert 290 <= serve(queue, 400, 0.0).count("heavy") <= 310


def test_running_requests_count_against_an_organisation():
    queue = fair_queue.FairQueue(10, {})
    for _ in range(3):
        queue.record_start("busy", 0.0)
    queue.push("busy", 1, 1e9, (), 100.0)
    queue.push("idle", 2, 1e9, (), 100.0)
    assert queue.pop(100.0, ACCEPT_ALL).organisation == "idle"


def test_full_queue_of_one_organisation_does_not_limit_others():
    queue = fair_queue.FairQueue(2, {})
    assert queue.push("a", 1, 1e9, (), 0.0) and queue.push("a", 2, 1e9, (), 0.0)
    assert queue.push("a", 3, 1e9, (), 0.0) is None
    assert queue.push("b", 4, 1e9, (), 0.0) is not None


OPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("push", "pop", "remove", "expire", "wait")),
        strategies.integers(0, 99),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(OPS)
def test_every_entry_is_removed_once_and_not_popped_after_its_deadline(ops):
    queue = fair_queue.FairQueue(5, {"a": 2.0})
    waiting = {}
    now_s = 0.0
    for op, number in ops:
        if op == "push":
            org = "abc"[number % 3]
            queued = sum(e.organisation == org for e in waiting.values())
            entry = queue.push(org, number, now_s + number % 7, (), now_s)
            assert (entry is None) == (queued >= 5)
            if entry:
                waiting[entry.entry_id] = entry
        elif op == "pop":
            entry = queue.pop(now_s, lambda e, n=number: e.item % 5 != n % 5)
            usable = [
                e
                for e in waiting.values()
                if now_s < e.deadline_s and e.item % 5 != number % 5
            ]
            assert (entry is None) == (not usable)
            if entry:
                assert entry in usable
                same = [
                    e.entry_id
                    for e in usable
                    if e.organisation == entry.organisation
                ]
                assert entry.entry_id == min(same), (
                    "the entries of one organisation were reordered"
                )
                del waiting[entry.entry_id]
                queue.record_start(entry.organisation, now_s)
        elif op == "remove" and waiting:
            entry = list(waiting.values())[number % len(waiting)]
            assert queue.remove(entry) and not queue.remove(entry)
            del waiting[entry.entry_id]
        elif op == "expire":
            expired = {i for i, e in waiting.items() if now_s >= e.deadline_s}
            assert {e.entry_id for e in queue.expire(now_s)} == expired
            for entry_id in expired:
                del waiting[entry_id]
        elif op == "wait":
            now_s += number / 20
        assert len(queue) == len(waiting)
