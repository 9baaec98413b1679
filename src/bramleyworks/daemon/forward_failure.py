"""Why a request got no answer from an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ForwardFailure:
    """A request without a usable answer.

    Attributes:
        not_run: Whether the upstream has certainly not run it.
        shed: Whether the upstream itself refused it for lack of capacity.
        peer: Name of the upstream.
        reason: What went wrong.
    """

    not_run: bool
    upstream: str
    reason: str
    shed: bool = False
