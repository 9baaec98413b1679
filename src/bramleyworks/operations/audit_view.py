"""The audit trail merged with the configuration changes."""

from bramleyworks.adapters import store
from bramleyworks.document import stored_config
from bramleyworks.operations import audit_log
from bramleyworks.policy import audit_entry


async def read(
    source: store.Store, stored: stored_config.StoredConfig | None
) -> list[audit_entry.AuditEntry]:
    """Reads the audit trail merged with the history, oldest first.

    Raises:
        errors.StoreError: The store can not be read.
    """
    return merge(await audit_log.read_all(source), stored)


def merge(
    entries: tuple[audit_entry.AuditEntry, ...],
    stored: stored_config.StoredConfig | None,
) -> list[audit_entry.AuditEntry]:
    """Returns entries and configuration changes by time, oldest first."""
    changes = (
        audit_entry.AuditEntry(
            id=entry.apply_id,
            time_s=entry.time_s,
            vm=entry.author,
            kind="config",
            subject=f"version {entry.version}",
            cause=f"{entry.summary} (apply id {entry.apply_id or 'none'})",
        )
        for entry in reversed(stored.history if stored else ())
    )
    return sorted((*entries, *changes), key=lambda entry: entry.time_s)
