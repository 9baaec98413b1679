"""An organisation with its keys and limits."""

import msgspec

from bramleyworks.document import key


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An organisation whose callers use the services.

    Attributes:
        name: Unique name.
        rate_per_s: Requests per second over all VMs together.
        burst: Largest burst of requests, over all VMs together.
        weight: Relative share when requests have to queue, 1 to 1000.
        keys: Keys that identify its callers.
    """

    name: str
    rate_per_s: float
    burst: float
    weight: int = 1
    keys: tuple[key.Key, ...] = ()
