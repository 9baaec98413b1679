"""Reads collected log files of entry VMs."""

import json
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator


def read(paths: Iterable[pathlib.Path]) -> Iterator[dict]:
    """Yields the events in files and in the ``.log`` files of directories.

    Skips lines that are not events, such as the traceback of an interpreter
    that could not start.
    """
    for path in paths:
        files = sorted(path.rglob("*.log")) if path.is_dir() else [path]
        for file in files:
            with file.open(errors="replace") as lines:
                yield from filter(None, map(_parse_event, lines))


def _parse_event(line: str) -> dict | None:
    try:
        event = json.loads(line)
    except ValueError:
        return None
    is_event = isinstance(event, dict) and {"time", "vm", "event"} <= set(event)
    return event if is_event else None
