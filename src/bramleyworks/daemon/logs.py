"""JSON lines as the format of all logs."""

import json
import logging
import time

from absl import flags
from absl import logging as absl_logging

# Fields that callers of the logger pass by ``extra``.
EXTRA_FIELDS = ("step", "peer", "request_id", "organisation", "vm")


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object on one line."""

    def __init__(self, vm_id: str):
        super().__init__()
        self._vm_id = vm_id

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as JSON."""
        entry = {
            "time": time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
            )
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "vm": self._vm_id,
            "message": record.getMessage(),
        }
        for name in EXTRA_FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                entry[name] = value
        if record.exc_info:
            entry["error"] = self.formatException(record.exc_info)
        return json.dumps(entry)


def configure(vm_id: str, level: str) -> None:
    """Sends all logs to standard error as JSON lines."""
    # The settings take the place of the library's command-line flags.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(vm_id))
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access"):
        logger = logging.getLogger(name)
        logger.handlers.clear()
        logger.propagate = True
        logger.setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
