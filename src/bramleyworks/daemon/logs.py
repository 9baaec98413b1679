"""Logging as JSON lines."""

import json
import logging
import time

from absl import flags
from absl import logging as absl_logging

# Record attributes, set through ``extra``, that are included in the output.
EXTRA_FIELDS = ("step", "peer", "request_id", "organisation", "vm")


class JsonFormatter(logging.Formatter):
    """Formats each log record as one line of JSON."""

    def __init__(self, vm_id: str):
        super().__init__()
        self._vm_id = vm_id

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as a JSON object."""
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
    """Configures all loggers to write JSON lines to standard error.

    Args:
        vm_id: Name of the VM, included in each line.
        level: Lowest level that is written.
    """
    # absl reads its flags, which this program does not parse: the settings
    # replace them.
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
