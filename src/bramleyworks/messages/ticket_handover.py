"""Hand-over of completed tickets by a stopping daemon."""

import msgspec


class TicketHandover(msgspec.Struct, frozen=True, tag="ticket_handover"):
    """Outcomes of tickets issued by a daemon that stops.

    Attributes:
        issuer: ``VMID.INCARNATION`` of the issuer.
        entries: Encoded outcomes by sequence number.
        last_sequence: Highest sequence number issued.
    """

    issuer: str
    entries: dict[int, bytes]
    last_sequence: int
