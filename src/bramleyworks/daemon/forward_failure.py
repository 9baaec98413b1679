"""Reason why an upstream gave no usable response."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ForwardFailure:
    """A failed attempt to forward a request.

    Attributes:
        not_run: Whether the upstream certainly did not run the request.
        shed: Whether the upstream refused the request for lack of capacity.
        upstream: Name of the upstream.
        reason: Description of the failure.
    """

    not_run: bool
    upstream: str
    reason: str
    shed: bool = False
