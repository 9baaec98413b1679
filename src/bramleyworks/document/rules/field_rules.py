"""Rules for single fields that several rule groups share."""

import math
import re
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

from bramleyworks.document import problem

# Names appear in HTTP headers, in limit names (``org:NAME``) and in targets
# (``REGION/NAME``), so colons, slashes and spaces can not be part of them.
NAME_MAX_CHARS = 64
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")

Problems = Iterator[problem.Problem]


def name(path: str, value: str) -> Problems:
    """Checks a name."""
    if not _NAME.match(value):
        yield problem.Problem(
            path,
            f"must be 1 to {NAME_MAX_CHARS} letters, digits, '.', '_' or '-'"
            f" and start with a letter or digit, is {shorten(value)}",
        )


def number(
    path: str, value: float, low: float, high: float, unit: str
) -> Problems:
    """Checks that a number lies between two bounds, inclusive."""
    # NaN fails both comparisons and infinity the finite upper bound.
    if not (math.isfinite(value) and low <= value <= high):
        yield problem.Problem(
            path,
            f"must be {low:,.15g} to {high:,.15g} {unit}, is {value:,.15g}",
        )


def unique(values: Iterable[tuple[str, str]], label: str) -> Problems:
    """Checks that no value occurs twice in pairs of path and value."""
    seen: dict[str, str] = {}
    for path, value in values:
        if value in seen:
            yield problem.Problem(
                path,
                f"{label} must be unique, {shorten(value)} is also at"
                f" {seen[value]}",
            )
        else:
            seen[value] = path


def known(
    path: str, value: str, names: Collection[str], label: str
) -> Problems:
    """Checks that a referenced item exists in the document."""
    if value not in names:
        yield problem.Problem(
            path, f"{label} {shorten(value)} is not in the document"
        )


def location(
    path: str,
    region: str,
    failure_domain: str,
    domains_by_region: dict[str, tuple[str, ...]],
) -> Problems:
    """Checks the region and failure domain of an item."""
    if region not in domains_by_region:
        yield from known(f"{path}.region", region, domains_by_region, "region")
    elif failure_domain not in domains_by_region[region]:
        yield problem.Problem(
            f"{path}.failure_domain",
            f"failure domain {shorten(failure_domain)} is not in region"
            f" {region!r}",
        )


def shorten(value: str) -> str:
    """Returns a value quoted and truncated for a message."""
    return repr(value if len(value) <= 80 else value[:77] + "...")
