"""A small valid document that tests edit."""

import hashlib

import msgspec

from bramleyworks.document import codec
from bramleyworks.document import document

NOW_S = 1_800_000_000.0


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def plain():
    """Returns the document as JSON-like dicts and lists."""
    return {
        "regions": [
            {"name": "sudo", "failure_domains": ["a", "b"]},
            {"name": "honam", "failure_domains": ["a"]},
        ],
        "organisations": [
            {
                "name": name,
                "rate_per_s": 100,
                "burst": 200,
                "keys": [{"id": f"{name}-1", "digest": digest(name)}],
            }
            for name in ("hanbit", "dasan")
        ],
        "services": [{"name": "store-desk", "version": "v1"}],
        "routes": [
            {"prefix": "/desk", "service": "store-desk"},
            {"prefix": "/desk/open", "service": "store-desk", "access": "open"},
        ],
        "upstreams": [
            {
                "name": f"desk-{i}",
                "service": "store-desk",
                "version": version,
                "region": region,
                "failure_domain": "a",
                "url": f"http://10.0.0.{i}:8000",
                "slots": 5,
            }
            for i, region, version in (
                (1, "sudo", "v1"),
                (2, "honam", "v1"),
                (3, "sudo", "v2"),
            )
        ],
        "link_caps": [
            {"source": "sudo", "target": "honam", "requests_per_s": 50}
        ],
        "client_blocks": [
            {"cidr": "10.1.0.0/16", "region": "sudo", "failure_domain": "a"}
        ],
    }


def move(**fields):
    return {
        "id": "m1",
        "service": "store-desk",
        "from_version": "v1",
        "to_version": "v2",
        "start_s": NOW_S,
        "deadline_s": NOW_S + 600,
    } | fields


def build(*edits):
    """Returns the document after edits of ``(path, value)``.

    A path is a tuple of field names and list indexes; a list index equal to
    the length appends.
    """
    data = plain()
    for path, value in edits:
        target = data
        for step in path[:-1]:
            target = target[step]
        if isinstance(target, list) and path[-1] == len(target):
            target.append(value)
        else:
            target[path[-1]] = value
    return codec.decode(msgspec.json.encode(data)).unwrap()


def empty():
    return document.Document()
