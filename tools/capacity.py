"""Measures the slopes of the capacity page and prints them as a table."""

import asyncio
import importlib
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).parents[1]


def main() -> int:
    """Prints the table and returns exit code 0."""
    # The process fleet (support.fleet) is part of the tests.
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
    capacity_fleet = importlib.import_module("capacity_fleet")
    registry = importlib.import_module("bramleyworks_lab.capacity.registry")
    row = importlib.import_module("bramleyworks_lab.capacity.row")
    started_s = time.monotonic()
    print(row.HEADER)
    for measurement in registry.ALL:
        print(row.text(row.measure(measurement, measurement.sizes)), flush=True)
    for table_row in asyncio.run(capacity_fleet.measure_rows()):
        print(row.text(table_row), flush=True)
    for name, program in capacity_fleet.BASELINE_PROGRAMS:
        print(
            f"{name}: {capacity_fleet.idle_rss_mib(program):.1f} MiB resident"
        )
    print(f"measured in {time.monotonic() - started_s:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
