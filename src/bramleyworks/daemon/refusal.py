"""Error responses that the daemon sends in place of an upstream."""

import dataclasses
import json
from typing import Literal


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An error response of the daemon.

    Attributes:
        status: HTTP status.
        outcome: ``"not_run"`` only if no upstream can have run the request;
            ``"done"`` if it was run before and its response is not kept.
        step: Processing step that refused the request.
        reason: Description for the caller, without secrets.
        peer: Name or address of the upstream or VM involved, ``"-"`` for none.
        retry_after_s: Seconds to wait before a retry, None if a retry is of no
            use.
    """

    status: int
    outcome: Literal["not_run", "unknown", "done"]
    step: str
    reason: str
    peer: str = "-"
    retry_after_s: int | None = None

    def headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the response."""
        raw = [
            (b"content-type", b"application/json"),
            (b"x-outcome", self.outcome.encode()),
            (b"x-request-id", request_id.encode()),
        ]
        if self.retry_after_s is not None:
            raw.append((b"retry-after", str(self.retry_after_s).encode()))
        if self.status == 401:
            raw.append((b"www-authenticate", b"Bearer"))
        return raw

    def body(self, request_id: str) -> bytes:
        """Returns the body of the response."""
        return json.dumps(
            {
                "error": self.reason,
                "outcome": self.outcome,
                "step": self.step,
                "peer": self.peer,
                "request_id": request_id,
            }
        ).encode()
