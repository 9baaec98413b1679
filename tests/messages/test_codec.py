"""Guards against messages that change in transit or crash the receiver."""

import hypothesis
import result
from hypothesis import strategies

from bramleyworks.messages import announce
from bramleyworks.messages import codec


def test_round_trip_keeps_the_message():
    msg = announce.Announce(version=7)
    assert codec.decode(codec.encode(msg), "peer") == result.Ok(msg)


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.binary(max_size=200))
def test_malformed_bytes_give_an_error_with_step_and_peer(data):
    decoded = codec.decode(data, "10.0.0.1:7000")
    if decoded.is_err():
        assert decoded.unwrap_err().step == "message.decode"
        assert decoded.unwrap_err().peer == "10.0.0.1:7000"
