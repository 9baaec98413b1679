"""Guards against risky changes that are applied without a warning."""

from support import sample_document

from bramleyworks.document import review_warnings


def test_risky_changes_are_named(snapshot):
    old = sample_document.build((("moves",), [sample_document.move()]))
    new = sample_document.build(
        (("organisations", 0, "keys"), []),
        (("organisations", 1, "name"), "other"),
        (("organisations", 0, "rate_per_s"), 49),
        (("routes", 0, "access"), "open"),
        (("routes", 0, "idempotent_methods"), ["GET", "POST"]),
        (("routes", 1, "prefix"), "/x"),
        (("services", 0, "version"), "v2"),
        (("drains",), [{"kind": "region", "target": "sudo"}]),
    )
    assert list(review_warnings.find(old, new)) == snapshot
    assert review_warnings.find(new, new) == snapshot(name="unchanged")
