"""Request for a slot of an upstream."""

import msgspec


class SlotAsk(msgspec.Struct, frozen=True, tag="slot_ask"):
    """Asks the owner of upstreams to lend one slot for one request.

    Attributes:
        ask_id: Id that the reply repeats.
        service: Name of the service.
        version: Requested version.
        region: Region of the asking VM.
        organisation: Organisation of the request, empty if open.
        wait_ms: Longest time the ask may queue at the owner, in milliseconds.
        exclude: Upstreams that must not be lent.
        target: Region the upstream must be in, empty for the sender's own.
    """

    ask_id: int
    service: str
    version: str
    region: str
    organisation: str
    wait_ms: float
    exclude: tuple[str, ...] = ()
    target: str = ""
