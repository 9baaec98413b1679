"""Decisions on a request that carries a ticket."""

import dataclasses

from bramleyworks.policy import ticket_outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run the request, then call ``TicketTable.finish`` exactly once.

    Attributes:
        attempt: Number of this attempt, 1 for the first.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait for the end of the attempt in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Respond with the stored outcome, whose kind is ``"done"``."""

    outcome: ticket_outcome.TicketOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A VM to forward a request to.

    Attributes:
        vm_id: Id of the VM.
        address: Its address for callers, as ``IP:PORT``.
    """

    vm_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Forward the request to other VMs in turn until one knows the outcome.

    Only the issuer runs the request of a ticket, so forwarding it to several
    VMs is safe. If none of them knows the outcome, it is unknown.

    Attributes:
        targets: The issuer, if it is live, then the VMs that probably hold
            the tickets it handed over.
    """

    targets: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Refuse: the request did not run and never will with this ticket."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Refuse: the request may have run and never runs again."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """Refuse: the ticket is malformed or belongs to another request."""

    reason: str


TicketStep = Run | Wait | Replay | Forward | NotRun | Unknown | Mismatch
