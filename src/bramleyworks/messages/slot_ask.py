"""Request for a slot of an upstream."""

import msgspec


class SlotAsk(msgspec.Struct, frozen=True, tag="slot_ask"):
    """Asks the owner of upstreams for one slot for one request.

    Attributes:
        ask_id: Identifies the reply.
        service: Name of the service.
        version: Version wanted.
        region: Region of the asking VM.
        organisation: Organisation of the request, empty if open.
        wait_ms: How long the ask may queue at the owner.
        exclude: Upstreams not wanted.
        target: Region the upstream must be in, empty for the asker's own.
    """

    ask_id: int
    service: str
    version: str
    region: str
    organisation: str
    wait_ms: float
    exclude: tuple[str, ...] = ()
    target: str = ""
