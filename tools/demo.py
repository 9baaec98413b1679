"""Runs a small fleet on loopback and demonstrates its main features."""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).parents[1]


def main() -> int:
    """Runs the demo and returns its exit code, 0 if every check passed."""
    # The process fleet (support.fleet) is part of the tests.
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
    return importlib.import_module("demo_run").main()


if __name__ == "__main__":
    sys.exit(main())
