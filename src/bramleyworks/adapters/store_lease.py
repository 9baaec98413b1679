"""A lease held in the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreLease:
    """A lease and its fencing token.

    Attributes:
        name: Name of the lease.
        holder: Id of its holder.
        token: Fencing token; increases with each change of holder.
        expires_s: Monotonic time of this process at which it expires, counted
            from before the call was sent.
    """

    name: str
    holder: str
    token: int
    expires_s: float
