"""An answer that this system gives in place of an upstream."""

import dataclasses
import json
from typing import Literal


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that gets no upstream's answer.

    Attributes:
        status: HTTP status.
        outcome: ``"not_run"`` only if no upstream can have run the request;
            ``"done"`` if it was run before and its answer is gone.
        step: The step that refused it.
        reason: Why, without secrets.
        peer: The other side involved, ``"-"`` for none.
        retry_after_s: When a repeat makes sense, None if it does not.
    """

    status: int
    outcome: Literal["not_run", "unknown", "done"]
    step: str
    reason: str
    peer: str = "-"
    retry_after_s: int | None = None

    def headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the answer."""
        found = [
            (b"content-type", b"application/json"),
            (b"x-outcome", self.outcome.encode()),
            (b"x-request-id", request_id.encode()),
        ]
        if self.retry_after_s is not None:
            found.append((b"retry-after", str(self.retry_after_s).encode()))
        if self.status == 401:
            found.append((b"www-authenticate", b"Bearer"))
        return found

    def body(self, request_id: str) -> bytes:
        """Returns the body of the answer."""
        return json.dumps(
            {
                "error": self.reason,
                "outcome": self.outcome,
                "step": self.step,
                "peer": self.peer,
                "request_id": request_id,
            }
        ).encode()
