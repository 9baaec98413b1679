"""How one attempt to run a ticket ended."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class TicketOutcome:
    """The end of one attempt to run the request of a ticket.

    Attributes:
        kind: ``"done"`` if the upstream answered, ``"not_run"`` only if the
            request certainly did not run, otherwise ``"unknown"``.
        status: HTTP status of the upstream's answer, 0 unless done.
        content_type: Content type of the answer.
        body: Body of the answer; empty if it was not kept.
        whole: Whether ``body`` is the whole body. A replay without the whole
            body must not look like a complete answer.
    """

    kind: Literal["done", "not_run", "unknown"]
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    whole: bool = True

    def without_body(self) -> "TicketOutcome":
        """Returns the outcome with its body dropped."""
        return dataclasses.replace(self, body=b"", whole=not self.body)


UNKNOWN = TicketOutcome("unknown")
NOT_RUN = TicketOutcome("not_run")
