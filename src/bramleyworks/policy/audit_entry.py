"""One entry of the audit trail."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """An operational event.

    Attributes:
        id: ``VMID.INCARNATION.SEQUENCE``; identifies duplicates.
        time_s: Unix time in seconds.
        vm: Name of the VM that recorded it.
        kind: Kind of the event, for example ``"move.cut"``.
        subject: Object of the event, for example the id of a move.
        cause: Reason for the event.
    """

    id: str
    time_s: float
    vm: str
    kind: str
    subject: str
    cause: str
