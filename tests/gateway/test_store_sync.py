"""Guards against a restart that brings back what was withdrawn."""

from bramleyworks.gateway import store_sync


def test_vm_without_data_copies_only_from_the_newest_peers():
    """A cut-off peer still lists upstreams that have left."""
    revisions = {"stale:1": 5, "fresh:1": 9, "also-fresh:1": 9}
    assert store_sync.sources(revisions, 0, has_data=False) == [
        "fresh:1",
        "also-fresh:1",
    ]


def test_vm_with_data_copies_from_any_newer_peer():
    """All followers would otherwise copy from one relay at once."""
    revisions = {"older:1": 5, "newer:1": 8, "newest:1": 9}
    found = store_sync.sources(revisions, 7, has_data=True)
    assert found == ["newer:1", "newest:1"]


def test_there_is_no_source_without_newer_peers():
    assert store_sync.sources({}, 0, has_data=False) == []
    assert store_sync.sources({"same:1": 7}, 7, has_data=True) == []
