"""What to do with a request that carries a ticket."""

import dataclasses

from bramleyworks.policy import ticket_outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run the request, then call ``finish`` exactly once.

    Attributes:
        attempt: Number of this attempt, 1 for the first.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait for the end of the attempt that is running."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Answer with the stored outcome of the kind ``"done"``."""

    outcome: ticket_outcome.TicketOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A VM to forward a request to.

    Attributes:
        vm_id: Name of the VM.
        address: Its address for callers, ``IP:PORT``.
    """

    vm_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Forward to other VMs in turn, until one knows the outcome.

    Only the issuer can run the ticket, so asking several VMs is safe. If none
    knows the outcome, it is unknown.

    Attributes:
        targets: The issuer, if it is live, then the VMs that probably hold
            its handover.
    """

    targets: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Refuse: the request did not run and this ticket never will."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Refuse: the request may have run; this ticket never runs again."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """Refuse: the ticket is malformed or belongs to another request."""

    reason: str


TicketStep = Run | Wait | Replay | Forward | NotRun | Unknown | Mismatch
