"""Where tasks report operational events."""

from typing import Protocol


class AuditSink(Protocol):
    """Takes audit entries; ``audit_task.AuditTask`` implements it."""

    def record(self, kind: str, subject: str, cause: str) -> None:
        """Records an event without waiting."""
