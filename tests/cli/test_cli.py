"""Guards against wrong output, wrong exit codes and tracebacks."""

import asyncio
import contextlib
import itertools

import hypothesis
import pytest
import result
from click import testing
from hypothesis import strategies
from support import fake_store
from support import sample_document
from support import virtual_clock

from bramleyworks import errors
from bramleyworks.cli import main
from bramleyworks.cli import store_factory
from bramleyworks.document import codec
from bramleyworks.document import new_key
from bramleyworks.operations import acceptance
from bramleyworks.operations import config_writer
from bramleyworks.operations import daemon_status
from bramleyworks.policy import audit_entry
from bramleyworks.policy import audit_ring
from bramleyworks.policy import move_record

NOW_S = sample_document.NOW_S
STORE = ("--store", "http://store")


class Tool:
    """Runs the command-line tool in a directory with an in-memory store."""

    def __init__(self, tmp_path):
        self.path = tmp_path
        self.store = fake_store.FakeStore(virtual_clock.VirtualClock())
        self.statuses = []

    def write(self, *edits):
        data = codec.encode(sample_document.build(*edits))
        (self.path / "doc.json").write_bytes(data)

    def run(self, *args):
        outcome = testing.CliRunner().invoke(main.cli, args)
        assert outcome.exception is None or isinstance(
            outcome.exception, SystemExit
        )
        return outcome

    def apply(self, base, *args):
        base = ("--base-version", str(base), "--author", "ana")
        return self.run(*STORE, "apply", "doc.json", *base, *args)


@pytest.fixture
def tool(tmp_path, monkeypatch):
    created = Tool(tmp_path)
    ids = itertools.count(1)

    @contextlib.asynccontextmanager
    async def open_store(url):
        yield created.store

    async def return_statuses(addresses):
        return created.statuses

    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv("BRAMLEYWORKS_CONFIG", raising=False)
    monkeypatch.setattr(store_factory, "open_store", open_store)
    monkeypatch.setattr(acceptance, "ask", return_statuses)
    monkeypatch.setattr(config_writer, "READ_DELAY_S", 0.001)
    monkeypatch.setattr("time.time", lambda: NOW_S)
    monkeypatch.setattr("secrets.token_hex", lambda size: f"id{next(ids)}")
    return created


def _status(vm, version, listed=("vm1", "vm2", "vm3"), members=None):
    return result.Ok(
        daemon_status.DaemonStatus(
            f"{vm}:80", vm, version, members or {}, frozenset(listed)
        )
    )


def _output(outcome):
    return {
        "code": outcome.exit_code,
        "out": outcome.stdout,
        "err": outcome.stderr,
    }


def test_a_document_goes_from_validation_to_acceptance(tool, snapshot):
    tool.write()
    tool.statuses = [_status("vm1", 1), _status("vm2", 1, members={"vm3": 0})]
    daemons = ("--daemon", "vm1:80", "--daemon", "vm2:80")
    assert {
        "validate": _output(tool.run("validate", "doc.json")),
        "diff": _output(tool.run(*STORE, "diff", "doc.json")),
        "apply": _output(tool.apply(0, *daemons)),
        "again": _output(tool.run(*STORE, "diff", "doc.json")),
        "status": _output(tool.run(*STORE, *daemons, "status")),
        "json": _output(tool.run("status", "--json", *STORE, *daemons)),
        "audit": _output(tool.run(*STORE, "audit")),
        "apply id": _output(tool.run("audit", *STORE, "--apply-id", "id1")),
        "other id": _output(tool.run("audit", *STORE, "--apply-id", "id9")),
    } == snapshot


def test_refusals_name_their_cause_and_write_nothing(tool, snapshot):
    tool.write()
    outputs = {"pending": _output(tool.apply(0))}
    tool.statuses = [
        _status("vm1", 1),
        result.Err(errors.PlatformError("daemon.status", "vm2:80", "refused")),
    ]
    tool.write((("organisations", 0, "rate_per_s"), 150))
    outputs["missing"] = _output(
        tool.apply(1, "--daemon", "vm1:80", "--wait-s", "0")
    )
    outputs["stale"] = _output(tool.apply(1))
    outputs["daemon failed"] = _output(
        tool.run(*STORE, "--daemon", "vm2:80", "status")
    )
    tool.write((("organisations", 0, "burst"), 0))
    outputs["invalid"] = _output(tool.run("validate", "doc.json"))
    outputs["invalid apply"] = _output(tool.apply(2))
    (tool.path / "bad.json").write_text('{"regions": [{"colour": 1}]}')
    outputs["undecodable"] = _output(tool.run("validate", "bad.json"))
    outputs["no file"] = _output(tool.run("validate", "none.json"))
    outputs["no store"] = _output(tool.run("status"))
    tool.write()
    tool.store.down = True
    outputs["store down"] = _output(tool.apply(2))
    outputs["status, store down"] = _output(tool.run(*STORE, "status"))
    outputs["checked without store"] = _output(
        tool.run(*STORE, "validate", "doc.json")
    )
    assert outputs == snapshot
    tool.store.down = False
    assert "version 2 by ana" in tool.run(*STORE, "status").stdout


def test_an_unknown_outcome_says_how_to_check_it(tool, snapshot):
    class LostResponseStore(fake_store.FakeStore):
        async def put(self, key, value, expected_revision):
            raise errors.StoreUnknownError("store.put", "fake", "timeout")

    tool.store = LostResponseStore(virtual_clock.VirtualClock())
    tool.write()
    assert _output(tool.apply(0)) == snapshot


def test_verdicts_and_events_are_shown(tool, snapshot):
    async def populate_store():
        move = move_record.MoveRecord(1, 1, 0, "undone", "12 failures", NOW_S)
        entry = audit_entry.AuditEntry(
            "vm1.a.1", NOW_S + 5, "vm1", "move.cut", "m1", "12 failures"
        )
        segment = audit_ring.encode(audit_ring.Segment(0, (entry,)))
        await tool.store.put(audit_ring.segment_key(0), segment, 0)
        doc = sample_document.build((("moves",), [sample_document.move()]))
        await config_writer.apply(tool.store, doc, 0, "ana", NOW_S, "id0")
        data = move_record.encode_all({"m1": move})
        await tool.store.put("moves", data, 0)

    asyncio.run(populate_store())
    assert {
        "status": _output(tool.run(*STORE, "status")),
        "audit": _output(tool.run(*STORE, "audit", "--limit", "1")),
    } == snapshot


def test_a_new_key_matches_its_digest_and_differs_each_time(tool):
    lines = [tool.run("key", "new").stdout.split() for _ in range(2)]
    assert lines[0][1] != lines[1][1]
    for _, key, _, digest in lines:
        assert new_key.digest(key) == digest


INI = """
[store]
url = http://store
[daemons]
addresses = vm1:80, vm2:80
[operator]
name = rui
"""


def test_the_settings_file_gives_store_daemons_and_author(tool):
    (tool.path / "tool.ini").write_text(INI)
    tool.write()
    tool.statuses = [_status("vm1", 1, listed=("vm1",))]
    args = ("--config", "tool.ini")
    outcome = tool.run(*args, "apply", "doc.json", "--base-version", "0")
    assert outcome.exit_code == 0, outcome.output
    assert "by rui at" in tool.run(*args, "status").stdout


def test_all_unknown_settings_are_reported(tool):
    (tool.path / "tool.ini").write_text(INI + "colour = red\n[x]\ny = 1\n")
    outcome = tool.run("--config", "tool.ini", "status")
    assert outcome.exit_code == 2
    assert "[operator] colour, [x]" in outcome.stderr


@hypothesis.settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    strategies.binary(max_size=60), strategies.sampled_from(("doc", "ini"))
)
def test_any_file_gives_one_error_and_no_write(tool, data, kind):
    (tool.path / "any").write_bytes(data)
    calls = tool.store.calls
    if kind == "doc":
        args = ("apply", "any", "--base-version", "0")
        ran = tool.run(*STORE, *args)
    else:
        ran = tool.run("--config", "any", "key", "new")
    if ran.exit_code:
        assert ran.exit_code in (1, 2)
        assert ran.stderr.count("error:") == 1
        assert tool.store.calls == calls
