"""One attempt to run a request at an upstream."""

import dataclasses

from bramleyworks.daemon import forward_failure
from bramleyworks.daemon import refusal
from bramleyworks.daemon import upstream_response


@dataclasses.dataclass(frozen=True)
class Attempt:
    """Result of an attempt; exactly one of the attributes is set.

    Attributes:
        response: The response, which was sent to the caller completely.
        refused: The refusal, if the request was not sent: it got no slot in
            time or its key became invalid.
        failure: The failure, if the upstream gave no complete response.
    """

    response: upstream_response.UpstreamResponse | None = None
    refused: refusal.Refusal | None = None
    failure: forward_failure.ForwardFailure | None = None
