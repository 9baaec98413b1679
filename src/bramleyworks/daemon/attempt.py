"""One try to get an answer from an upstream."""

import dataclasses

from bramleyworks.daemon import forward_failure
from bramleyworks.daemon import refusal
from bramleyworks.daemon import upstream_response


@dataclasses.dataclass(frozen=True)
class Attempt:
    """How a try ended; exactly one of the attributes is set.

    Attributes:
        answered: The answer that went to the caller whole.
        refused: No slot was to be had, so nothing was sent.
        failure: The upstream gave no whole answer.
    """

    response: upstream_response.UpstreamResponse | None = None
    refused: refusal.Refusal | None = None
    failure: forward_failure.ForwardFailure | None = None
