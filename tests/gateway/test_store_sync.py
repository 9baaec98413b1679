"""Guards against a restart that brings back what was withdrawn."""

from bramleyworks.gateway import store_sync
from bramleyworks.platform import kv_position


def position(revision, era=0):
    return kv_position.Position(era, revision)


def positions(revisions, era=0):
    return {name: position(found, era) for name, found in revisions.items()}


def test_vm_without_data_copies_only_from_the_newest_peers():
    """A cut-off peer still lists upstreams that have left."""
    found = positions({"stale:1": 5, "fresh:1": 9, "also-fresh:1": 9})
    assert store_sync.sources(found, set(), position(0), has_data=False) == [
        "fresh:1",
        "also-fresh:1",
    ]


def test_vm_with_data_copies_from_any_newer_peer():
    """All followers would otherwise copy from one relay at once."""
    found = positions({"older:1": 5, "newer:1": 8, "newest:1": 9})
    assert store_sync.sources(found, set(), position(7), has_data=True) == [
        "newer:1",
        "newest:1",
    ]


def test_there_is_no_source_without_newer_peers():
    assert store_sync.sources({}, set(), position(0), has_data=False) == []
    same = positions({"same:1": 7})
    assert store_sync.sources(same, set(), position(7), has_data=True) == []


def test_peers_of_an_earlier_era_are_no_source():
    """Guards against going back to what a restored store has lost."""
    found = positions({"before:1": 90}, era=1) | positions({"after:1": 40}, 2)
    own = kv_position.Position(2, 30)
    assert store_sync.sources(found, set(), own, has_data=True) == ["after:1"]
    own = kv_position.Position()
    assert store_sync.sources(found, set(), own, has_data=False) == ["after:1"]
