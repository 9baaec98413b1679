"""Guards against explanations that show the state of another time or VM."""

import json

from click import testing

from bramleyworks.cli import main
from bramleyworks.operations import explanation


def line(time_s, event, vm="vm1", **fields):
    return {"time": time_s, "vm": vm, "event": event, **fields}


def request(time_s, request_id="r1", vm="vm1", tried=(), **fields):
    values = {
        "route": "stock",
        "service": "desk",
        "object": "stock/7",
        "organisation": "org-one",
        "config": 4,
        "status": 503,
        "reason": "no upstream of desk has room",
        "ms": 1.5,
    }
    return line(
        time_s,
        "request",
        vm,
        id=request_id,
        tried=list(tried),
        **values | fields,
    )


def attempt(upstream, outcome="failed"):
    return {
        "upstream": upstream,
        "outcome": outcome,
        "reason": "upstream.read: the connection was closed",
        "load": 2.0,
        "held": True,
        "expected_ms": 70,
        "wait_ms": 10,
        "ms": 22,
    }


def state(time_s, vm="vm1"):
    return line(
        time_s,
        "state",
        vm,
        revision=31,
        store_away=True,
        peers=2,
        upstreams={"u1": [5.0, 1.2, 3, 0, 0], "u2": [0.0, 1.0, 0, 1, 1]},
    )


LINES = [
    line(100.0, "config.in_force", version=3, before=0),
    line(150.0, "config.in_force", version=4, before=3),
    line(150.5, "config.in_force", "vm2", version=5, before=3),
    line(180.0, "process", level="info", message="too long ago"),
    line(195.0, "store.lost", step="store.watch", reason="timed out"),
    state(197.0),
    line(198.0, "log.dropped", lines={"request": 7, "process": 1}),
    line(199.0, "process", "vm2", level="info", message="another VM"),
    line(199.5, "process", level="info", message="upstream u2 left"),
    request(200.0),
    state(201.0),
    line(201.0, "config.in_force", version=6, before=4),
]


def only(explanations):
    (item,) = explanations
    return item


def test_context_is_from_the_same_vm_shortly_before_the_request():
    found = only(explanation.explain(reversed(LINES), "r1"))
    assert found.in_force["version"] == 4
    assert found.state["time"] == 197.0
    assert [e["time"] for e in found.events] == [195.0, 199.5]
    assert found.dropped_lines == 7


def test_upstreams_are_the_attempted_ones_or_all_without_an_attempt():
    found = only(explanation.explain(LINES, "r1"))
    assert [u.name for u in found.upstreams] == ["u1", "u2"]
    tried = request(200.0, "r2", tried=[attempt("u2")])
    found = only(explanation.explain([*LINES, tried], "r2"))
    assert found.upstreams == (
        explanation.UpstreamState("u2", 0.0, 1.0, 0, True, True),
    )


def test_each_vm_that_logged_the_request_is_explained():
    again = request(200.2, vm="vm2")
    found = explanation.explain([again, *LINES], "r1")
    assert [item.request["vm"] for item in found] == ["vm1", "vm2"]
    assert found[1].in_force["version"] == 5
    assert found[1].state is None


def test_printed_explanation(tmp_path, snapshot):
    tried = [attempt("u1"), attempt("u2", "answered")]
    lines = [*LINES, request(200.4, tried=tried, status=200, reason="")]
    (tmp_path / "vm1.log").write_text(
        "Traceback (most recent call last):\n[1]\n"
        + "\n".join(json.dumps(item) for item in lines)
    )
    ran = testing.CliRunner().invoke(main.cli, ["explain", "r1", str(tmp_path)])
    assert ran.exit_code == 0
    assert ran.output == snapshot


def test_unknown_request_has_its_own_exit_code(tmp_path):
    (tmp_path / "vm1.log").write_text("")
    ran = testing.CliRunner().invoke(main.cli, ["explain", "r1", str(tmp_path)])
    assert ran.exit_code == 5
    assert "no line about r1" in ran.output
