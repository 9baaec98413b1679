"""Interface through which tasks record operational events."""

from typing import Protocol


class AuditSink(Protocol):
    """Receives audit entries; ``audit_task.AuditTask`` implements it."""

    def record(self, kind: str, subject: str, cause: str) -> None:
        """Records an event without blocking."""
