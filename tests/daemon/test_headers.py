"""Guards against callers' keys and forged headers that reach upstreams."""

import hypothesis
from hypothesis import strategies

from bramleyworks.daemon import headers

NAMES = strategies.sampled_from(
    [b"authorization", b"x-api-key", b"x-organisation", b"x-note", b"accept"]
)


def test_hop_by_hop_and_reserved_headers_are_dropped():
    sent = headers.to_upstream(
        [
            (b"connection", b"keep-alive, x-private"),
            (b"x-private", b"1"),
            (b"x-organisation", b"someone-else"),
            (b"x-request-id", b"forged"),
            (b"accept", b"*/*"),
        ],
        None,
    )
    assert dict(sent) == {"accept": "*/*"}


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            NAMES, strategies.sampled_from([b"Bearer K3Y", b"K3Y", b"a K3Y b"])
        )
    )
)
def test_no_header_carries_the_key(raw):
    sent = headers.to_upstream(raw, b"K3Y")
    assert not any("K3Y" in value for value in sent.values())


def test_both_of_two_keys_are_returned():
    raw = [(b"authorization", b"Bearer a"), (b"x-api-key", b"b")]
    assert headers.presented_keys(raw) == [b"a", b"b"]
