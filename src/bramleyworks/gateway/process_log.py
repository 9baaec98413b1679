"""Routes the standard library's log records to the event log."""

import logging

from bramleyworks.gateway import event_log


class ProcessLogHandler(logging.Handler):
    """Writes log records as events."""

    def __init__(self, log: event_log.EventLog):
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        fields = {
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        if record.exc_info:
            formatter = self.formatter or logging.Formatter()
            fields["error"] = formatter.formatException(record.exc_info)
        self._log.write("process", **fields)


def set_up(log: event_log.EventLog, level: str) -> None:
    """Routes all log records to the event log.

    Args:
        log: Event log to write to.
        level: Name of the lowest level that is written.
    """
    root = logging.getLogger()
    root.handlers[:] = [ProcessLogHandler(log)]
    root.setLevel(level.upper())
    logging.getLogger("absl").setLevel(level.upper())
    for name in ("uvicorn", "uvicorn.error", "asyncio", "aiohttp"):
        logging.getLogger(name).setLevel(logging.WARNING)
