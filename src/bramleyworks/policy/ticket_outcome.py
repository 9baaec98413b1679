"""Outcome of one attempt to run the request of a ticket."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class TicketOutcome:
    """Outcome of one attempt to run the request of a ticket.

    Attributes:
        kind: ``"done"`` if the upstream responded, ``"not_run"`` only if the
            request certainly did not run, otherwise ``"unknown"``.
        status: HTTP status of the response, 0 unless done.
        content_type: Content type of the response.
        body: Body of the response; empty if it was not kept.
        whole: Whether ``body`` is complete. A replay without the complete body
            must not look like a complete response.
    """

    kind: Literal["done", "not_run", "unknown"]
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    whole: bool = True

    def without_body(self) -> "TicketOutcome":
        """Returns a copy without the body."""
        return dataclasses.replace(self, body=b"", whole=not self.body)


UNKNOWN = TicketOutcome("unknown")
NOT_RUN = TicketOutcome("not_run")
