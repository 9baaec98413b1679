"""Guards against deltas that do not reproduce the exact stored bytes."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies
from support import sample_document

from bramleyworks.document import codec
from bramleyworks.document import delta
from bramleyworks.document import diff
from bramleyworks.document import history_entry
from bramleyworks.document import organisation
from bramleyworks.document import route
from bramleyworks.document import stored_config

NAMES = strategies.sampled_from("abcdef")
HISTORY = strategies.lists(
    strategies.builds(
        history_entry.HistoryEntry,
        version=strategies.integers(1, 9),
        time_s=strategies.sampled_from((1.0, 2.5)),
    ),
    max_size=4,
).map(tuple)
DOCS = strategies.builds(
    lambda orgs, routes: msgspec.structs.replace(
        sample_document.build(), organisations=orgs, routes=routes
    ),
    strategies.lists(
        strategies.builds(
            organisation.Organisation,
            name=NAMES,
            rate_per_s=strategies.sampled_from((0, 0.0, -0.0, 1, 1.5)),
            burst=strategies.just(1.0),
            keys=strategies.just(()),
        ),
        max_size=6,
    ).map(tuple),
    strategies.lists(
        strategies.builds(route.Route, prefix=NAMES, service=NAMES), max_size=4
    ).map(tuple),
)
STORED = strategies.builds(
    stored_config.StoredConfig,
    time_s=strategies.floats(0, 1e10),
    doc=DOCS,
    history=HISTORY,
    version=strategies.integers(1, 1000),
).map(lambda item: codec.decode_stored(codec.encode_stored(item)).unwrap())


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(STORED, STORED)
def test_round_trip_gives_the_same_bytes(old, new):
    ops = delta.make(old, new)
    updated = delta.apply(old, ops, delta.digest(new)).unwrap()
    assert codec.encode_stored(updated) == codec.encode_stored(new)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(STORED, strategies.binary(max_size=60))
def test_malformed_operations_give_one_error(old, ops):
    assert delta.apply(old, ops, peer="vm1").unwrap_err().peer == "vm1"


@pytest.mark.parametrize(
    "lists",
    [
        {"organisations": [["copy", "none", 1]]},
        {"organisations": [["copy", "hanbit", 3]]},
        {"organisations": [["copy", "hanbit", -1]]},
        {"organisations": [["put", [{"name": 1}]]]},
        {"schema": []},
        {"colours": []},
    ],
)
def test_operations_that_do_not_match_the_base_are_rejected(lists):
    base = stored_config.StoredConfig(1, "", "", 0.0, sample_document.build())
    ops = msgspec.json.decode(delta.make(base, base)) | {"lists": lists}
    assert delta.apply(base, msgspec.json.encode(ops)).is_err()


def test_wrong_base_version_and_wrong_digest_are_rejected():
    base = stored_config.StoredConfig(1, "", "", 0.0, sample_document.build())
    other = msgspec.structs.replace(base, version=2)
    ops = delta.make(base, other)
    assert "base version 1" in delta.apply(other, ops).unwrap_err().reason
    assert "digest" in delta.apply(base, ops, "00").unwrap_err().reason


def test_delta_of_a_small_change_to_a_large_document_is_small():
    doc = sample_document.build()
    many = tuple(
        msgspec.structs.replace(doc.upstreams[0], name=f"u{i}")
        for i in range(2000)
    )
    base = stored_config.StoredConfig(
        1, "", "", 0.0, msgspec.structs.replace(doc, upstreams=many)
    )
    for changed in (many[1:], many[:1000] + many[1001:] + many[:1]):
        new = msgspec.structs.replace(
            base,
            version=2,
            doc=msgspec.structs.replace(doc, upstreams=changed),
        )
        assert len(delta.make(base, new)) < 400


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(DOCS, DOCS)
def test_diff_is_empty_only_for_equal_documents(old, new):
    assert (diff.changes(old, new) == ()) == (old == new)


def test_changes_are_readable(snapshot):
    old = sample_document.build()
    new = sample_document.build(
        (("organisations", 1, "rate_per_s"), 250),
        (("organisations", 0, "keys"), []),
        (("routes", 2), {"prefix": "/new", "service": "store-desk"}),
        (("drains",), [{"kind": "region", "target": "sudo"}]),
        (("client_blocks",), []),
        (("regions",), sample_document.plain()["regions"][::-1]),
    )
    assert [str(item) for item in diff.changes(old, new)] == snapshot
