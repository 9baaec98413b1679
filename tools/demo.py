"""Runs a small fleet on loopback and shows what it serves."""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).parents[1]


def main() -> int:
    """Returns the exit code of the demo, 0 if all went as expected."""
    # The fleet of processes is the one that the process tests use.
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
    return importlib.import_module("demo_run").main()


if __name__ == "__main__":
    sys.exit(main())
