"""Guards against wrong outcomes, exit codes and tracebacks for operators."""

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
    """Runs the tool in a directory with a store in memory."""

    def __init__(self, tmp_path):
        self.path = tmp_path
        self.store = fake_store.FakeStore(virtual_clock.VirtualClock())
        self.answers = []

    def write(self, *edits):
        data = codec.encode(sample_document.build(*edits))
        (self.path / "doc.json").write_bytes(data)

    def run(self, *args):
        ran = testing.CliRunner().invoke(main.cli, args)
        assert ran.exception is None or isinstance(ran.exception, SystemExit)
        return ran

    def apply(self, base, *args):
        base = ("--base-version", str(base), "--author", "ana")
        return self.run(*STORE, "apply", "doc.json", *base, *args)


@pytest.fixture
def tool(tmp_path, monkeypatch):
    made = Tool(tmp_path)
    ids = itertools.count(1)

    @contextlib.asynccontextmanager
    async def open_store(url):
        yield made.store

    async def ask(addresses):
        return made.answers

    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv("BRAMLEYWORKS_CONFIG", raising=False)
    monkeypatch.setattr(store_factory, "open_store", open_store)
    monkeypatch.setattr(acceptance, "ask", ask)
    monkeypatch.setattr(config_writer, "READ_DELAY_S", 0.001)
    monkeypatch.setattr("time.time", lambda: NOW_S)
    monkeypatch.setattr("secrets.token_hex", lambda size: f"id{next(ids)}")
    return made


def _status(vm, version, listed=("vm1", "vm2", "vm3"), members=None):
    return result.Ok(
        daemon_status.DaemonStatus(
            f"{vm}:80", vm, version, members or {}, frozenset(listed)
        )
    )


def _shown(ran):
    return {"code": ran.exit_code, "out": ran.stdout, "err": ran.stderr}


def test_a_document_goes_from_validation_to_acceptance(tool, snapshot):
    tool.write()
    tool.answers = [_status("vm1", 1), _status("vm2", 1, members={"vm3": 0})]
    daemons = ("--daemon", "vm1:80", "--daemon", "vm2:80")
    assert {
        "validate": _shown(tool.run("validate", "doc.json")),
        "diff": _shown(tool.run(*STORE, "diff", "doc.json")),
        "apply": _shown(tool.apply(0, *daemons)),
        "again": _shown(tool.run(*STORE, "diff", "doc.json")),
        "status": _shown(tool.run(*STORE, *daemons, "status")),
        "json": _shown(tool.run("status", "--json", *STORE, *daemons)),
        "audit": _shown(tool.run(*STORE, "audit")),
        "apply id": _shown(tool.run("audit", *STORE, "--apply-id", "id1")),
        "other id": _shown(tool.run("audit", *STORE, "--apply-id", "id9")),
    } == snapshot


def test_refusals_name_their_cause_and_write_nothing(tool, snapshot):
    tool.write()
    found = {"pending": _shown(tool.apply(0))}
    tool.answers = [
        _status("vm1", 1),
        result.Err(errors.PlatformError("daemon.status", "vm2:80", "refused")),
    ]
    tool.write((("organisations", 0, "rate_per_s"), 150))
    found["missing"] = _shown(
        tool.apply(1, "--daemon", "vm1:80", "--wait-s", "0")
    )
    found["stale"] = _shown(tool.apply(1))
    found["daemon failed"] = _shown(
        tool.run(*STORE, "--daemon", "vm2:80", "status")
    )
    tool.write((("organisations", 0, "burst"), 0))
    found["invalid"] = _shown(tool.run("validate", "doc.json"))
    found["invalid apply"] = _shown(tool.apply(2))
    (tool.path / "bad.json").write_text('{"regions": [{"colour": 1}]}')
    found["undecodable"] = _shown(tool.run("validate", "bad.json"))
    found["no file"] = _shown(tool.run("validate", "none.json"))
    found["no store"] = _shown(tool.run("status"))
    tool.write()
    tool.store.down = True
    found["store down"] = _shown(tool.apply(2))
    found["status, store down"] = _shown(tool.run(*STORE, "status"))
    found["checked without store"] = _shown(
        tool.run(*STORE, "validate", "doc.json")
    )
    assert found == snapshot
    tool.store.down = False
    assert "version 2 by ana" in tool.run(*STORE, "status").stdout


def test_an_unknown_outcome_says_how_to_check_it(tool, snapshot):
    class LosingStore(fake_store.FakeStore):
        async def put(self, key, value, expected_revision):
            raise errors.StoreUnknownError("store.put", "fake", "timeout")

    tool.store = LosingStore(virtual_clock.VirtualClock())
    tool.write()
    assert _shown(tool.apply(0)) == snapshot


def test_verdicts_and_events_are_shown(tool, snapshot):
    async def fill():
        move = move_record.MoveRecord(1, 1, 0, "undone", "12 failures", NOW_S)
        noted = audit_entry.AuditEntry(
            "vm1.a.1", NOW_S + 5, "vm1", "move.cut", "m1", "12 failures"
        )
        segment = audit_ring.encode(audit_ring.Segment(0, (noted,)))
        await tool.store.put(audit_ring.segment_key(0), segment, 0)
        doc = sample_document.build((("moves",), [sample_document.move()]))
        await config_writer.apply(tool.store, doc, 0, "ana", NOW_S, "id0")
        data = move_record.encode_all({"m1": move})
        await tool.store.put("moves", data, 0)

    asyncio.run(fill())
    assert {
        "status": _shown(tool.run(*STORE, "status")),
        "audit": _shown(tool.run(*STORE, "audit", "--limit", "1")),
    } == snapshot


def test_a_new_key_matches_its_digest_and_differs_each_time(tool):
    shown = [tool.run("key", "new").stdout.split() for _ in range(2)]
    assert shown[0][1] != shown[1][1]
    for _, key, _, digest in shown:
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
    tool.answers = [_status("vm1", 1, listed=("vm1",))]
    args = ("--config", "tool.ini")
    ran = tool.run(*args, "apply", "doc.json", "--base-version", "0")
    assert ran.exit_code == 0, ran.output
    assert "by rui at" in tool.run(*args, "status").stdout


def test_all_unknown_settings_are_named(tool):
    (tool.path / "tool.ini").write_text(INI + "colour = red\n[x]\ny = 1\n")
    ran = tool.run("--config", "tool.ini", "status")
    assert ran.exit_code == 2
    assert "[operator] colour, [x]" in ran.stderr


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
