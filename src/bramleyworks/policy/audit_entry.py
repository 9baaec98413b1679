"""One entry of the audit trail."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """An operational event.

    Attributes:
        id: ``VMID.INCARNATION.SEQUENCE``, by which a repeat is recognised.
        time_s: Unix time in seconds.
        vm: Name of the VM.
        kind: Kind of the event, for example ``"move.cut"``.
        subject: What it is about, for example the id of a move.
        cause: Why it happened.
    """

    id: str
    time_s: float
    vm: str
    kind: str
    subject: str
    cause: str
