"""Guards against accepting documents that would break the fleet."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies
from support import sample_document

from bramleyworks.document import document
from bramleyworks.document import validation
from bramleyworks.document.rules import size_rules

NOW_S = sample_document.NOW_S
DRAIN = {"kind": "region", "target": "sudo"}
ORG, KEY = ("organisations", 1), ("organisations", 1, "keys", 0)
UP, ROUTE, CAP = ("upstreams", 0), ("routes", 0), ("link_caps", 0)
FIRST_DIGEST = sample_document.digest("hanbit")

# Edits of the sample document; each case violates one rule.
CASES = {
    "schema": [(("schema",), 2)],
    "region_twice": [(("regions", 1, "name"), "sudo")],
    "region_without_domain": [(("regions", 1, "failure_domains"), [])],
    "domain_twice": [(("regions", 0, "failure_domains"), ["a", "a"])],
    "organisation_twice": [((*ORG, "name"), "hanbit")],
    "organisation_name": [((*ORG, "name"), "da san")],
    "rate_zero": [((*ORG, "rate_per_s"), 0)],
    "rate_huge": [((*ORG, "rate_per_s"), 1e300)],
    "burst_zero": [((*ORG, "burst"), 0)],
    "weight": [((*ORG, "weight"), 1001)],
    "key_id_twice": [((*KEY, "id"), "hanbit-1")],
    "key_instead_of_digest": [((*KEY, "digest"), "secret-key")],
    "key_shared": [((*KEY, "digest"), FIRST_DIGEST)],
    "service_version": [(("services", 0, "version"), "")],
    "request_time": [(("services", 0, "max_request_s"), 601)],
    "route_twice": [(("routes", 1, "prefix"), "/desk")],
    "route_twice_but_for_a_slash": [(("routes", 1, "prefix"), "/desk/")],
    "route_reserved": [((*ROUTE, "prefix"), "/v1/entry")],
    "route_reserved_exactly": [((*ROUTE, "prefix"), "/-")],
    "route_not_a_path": [((*ROUTE, "prefix"), "desk?x=1")],
    "route_dots": [((*ROUTE, "prefix"), "/desk/../v1")],
    "route_service": [((*ROUTE, "service"), "gate")],
    "route_without_upstream": [(("services", 0, "version"), "v3")],
    "route_open_with_organisations": [
        (("routes", 1, "organisations"), ["hanbit"])
    ],
    "route_organisation": [((*ROUTE, "organisations"), ["hanbit", "x"])],
    "route_method": [((*ROUTE, "idempotent_methods"), ["get"])],
    "upstream_url_twice": [((*UP, "url"), "http://10.0.0.2:8000")],
    "upstream_url_name": [((*UP, "url"), "http://desk.example:8000")],
    "upstream_url_path": [((*UP, "url"), "http://10.0.0.1:8000/x")],
    "upstream_region": [((*UP, "region"), "norte")],
    "upstream_domain": [((*UP, "failure_domain"), "c")],
    "upstream_slots": [((*UP, "slots"), 0)],
    "upstream_connections": [((*UP, "connections"), 4)],
    "cap_bits": [((*CAP, "bits_per_s"), 4.1e9)],
    "cap_same_region": [((*CAP, "target"), "sudo")],
    "cap_region": [((*CAP, "target"), "norte")],
    "cap_negative": [((*CAP, "requests_per_s"), -1)],
    "cap_twice": [
        (
            ("link_caps", 1),
            {"source": "sudo", "target": "honam", "requests_per_s": 1},
        )
    ],
    "drain_unknown": [
        (("drains",), [{"kind": "failure_domain", "target": "sudo/z"}])
    ],
    "drain_twice": [(("drains",), [DRAIN, DRAIN])],
    "drain_all": [
        (("drains",), [DRAIN, {"kind": "upstream", "target": "desk-2"}])
    ],
    "drain_move_target": [
        (("drains",), [{"kind": "upstream", "target": "desk-3"}]),
        (("moves",), [sample_document.move()]),
    ],
    "block": [(("client_blocks", 0, "cidr"), "10.1.0.1/16")],
    "block_region": [(("client_blocks", 0, "region"), "norte")],
    "move_past": [(("moves",), [sample_document.move(deadline_s=NOW_S - 5)])],
    "move_order": [(("moves",), [sample_document.move(start_s=NOW_S + 900)])],
    "move_short": [(("moves",), [sample_document.move(deadline_s=NOW_S + 99)])],
    "move_long": [(("moves",), [sample_document.move(deadline_s=NOW_S + 3e6)])],
    "move_late_start": [
        (("moves",), [sample_document.move(start_s=NOW_S - 300)])
    ],
    "move_from": [(("moves",), [sample_document.move(from_version="v0")])],
    "move_same": [(("moves",), [sample_document.move(to_version="v1")])],
    "move_target": [(("moves",), [sample_document.move(to_version="v9")])],
    "moves_at_once": [
        (("moves",), [sample_document.move(), sample_document.move(id="m2")])
    ],
    "move_id_twice": [
        (("moves",), [sample_document.move(), sample_document.move()])
    ],
}


def test_messages_name_the_field_the_bound_and_the_unit(snapshot):
    assert validation.check(sample_document.build(), NOW_S) == ()
    found = {
        name: [
            str(problem)
            for problem in validation.check(
                sample_document.build(*edits), NOW_S
            )
        ]
        for name, edits in CASES.items()
    }
    assert [name for name, problems in found.items() if not problems] == []
    assert found == snapshot


def test_all_problems_are_reported_together():
    edits = [
        edit
        for name in ("rate_zero", "upstream_slots", "cap_bits", "block")
        for edit in CASES[name]
    ]
    problems = validation.check(sample_document.build(*edits), NOW_S)
    assert [problem.path for problem in problems] == [
        "organisations[1].rate_per_s",
        "upstreams[0].slots",
        "link_caps[0].bits_per_s",
        "client_blocks[0].cidr",
    ]


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_a_rate_that_is_not_finite_is_rejected(value):
    doc = sample_document.build()
    org = msgspec.structs.replace(doc.organisations[0], rate_per_s=value)
    doc = msgspec.structs.replace(doc, organisations=(org,))
    assert validation.check(doc, NOW_S)[0].path == "organisations[0].rate_per_s"


def test_message_does_not_contain_a_key_given_instead_of_a_digest():
    doc = sample_document.build(*CASES["key_instead_of_digest"])
    assert "secret-key" not in str(validation.check(doc, NOW_S))


def test_a_move_in_force_may_have_ended_but_its_id_is_not_reused():
    edit = (("moves",), [sample_document.move()])
    before = sample_document.build(edit)
    later_s = NOW_S + 1e6
    assert validation.check(before, later_s, before) == ()
    ended = sample_document.build(edit, (("services", 0, "version"), "v2"))
    assert validation.check(ended, later_s, before) == ()
    changed = sample_document.build(
        (("moves",), [sample_document.move(deadline_s=NOW_S + 900)])
    )
    assert [item.path for item in validation.check(changed, NOW_S, before)] == [
        "moves[0].id"
    ]


def test_a_document_too_large_for_the_store_is_rejected():
    blocks = [
        {"cidr": f"10.{i // 256}.{i % 256}.0/24", "region": "sudo"}
        | {"failure_domain": "a"}
        for i in range(16_000)
    ]
    doc = sample_document.build((("client_blocks",), blocks))
    problems = validation.check(doc, NOW_S)
    assert [problem.path for problem in problems] == ["document"]
    assert f"{size_rules.DOCUMENT_MAX_BYTES:,}" in problems[0].rule


_TEXT = strategies.text(max_size=6)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.builds(
        document.Document,
        **{
            field.name: strategies.lists(
                strategies.builds(
                    field.type.__args__[0],
                    **{
                        inner.name: strategies.just(())
                        for inner in msgspec.structs.fields(
                            field.type.__args__[0]
                        )
                        if inner.name == "keys"
                    },
                ),
                max_size=2,
            ).map(tuple)
            for field in msgspec.structs.fields(document.Document)
            if field.name != "schema"
        },
    )
)
def test_any_document_is_validated_without_an_exception(doc):
    for problem in validation.check(doc, NOW_S, doc):
        assert problem.path and problem.rule
