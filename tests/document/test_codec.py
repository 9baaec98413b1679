"""Guards against documents that lose or silently ignore fields."""

import hypothesis
from hypothesis import strategies

from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import region


def test_round_trip_keeps_the_document():
    doc = document.Document(
        regions=(region.Region(name="sudo", failure_domains=("a", "b")),)
    )
    assert codec.decode(codec.encode(doc)).unwrap() == doc


def test_unknown_field_is_named():
    decoded = codec.decode(b'{"regions": [{"name": "a", "colour": 1}]}')
    assert "colour" in decoded.unwrap_err().reason


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.binary(max_size=200))
def test_malformed_bytes_give_an_error(data):
    decoded = codec.decode(data, "console")
    if decoded.is_err():
        assert decoded.unwrap_err().peer == "console"
