"""Rules for organisations and their keys."""

import re

from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules

# The lower bound allows at least one request in ten seconds; the upper bounds
# exceed the 4.1 million look-ups per second that are expected in two years.
RATE_MIN_PER_S = 0.1
RATE_MAX_PER_S = 10e6
BURST_MAX = 10e6
WEIGHT_MAX = 1000
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all organisations."""
    organisations = context.doc.organisations
    yield from field_rules.unique(
        (
            (f"organisations[{i}].name", item.name)
            for i, item in enumerate(organisations)
        ),
        "the name of an organisation",
    )
    keys = []
    for i, item in enumerate(organisations):
        path = f"organisations[{i}]"
        yield from field_rules.name(f"{path}.name", item.name)
        yield from field_rules.number(
            f"{path}.rate_per_s",
            item.rate_per_s,
            RATE_MIN_PER_S,
            RATE_MAX_PER_S,
            "requests per second",
        )
        yield from field_rules.number(
            f"{path}.burst", item.burst, 1, BURST_MAX, "requests"
        )
        yield from field_rules.number(
            f"{path}.weight", item.weight, 1, WEIGHT_MAX, "(no unit)"
        )
        keys.extend(
            (f"{path}.keys[{j}]", item.name, key)
            for j, key in enumerate(item.keys)
        )
    yield from _check_keys(keys)


def _check_keys(keys) -> field_rules.Problems:
    yield from field_rules.unique(
        ((f"{path}.id", key.id) for path, _, key in keys), "the id of a key"
    )
    first_uses: dict[str, tuple[str, str]] = {}
    for path, name, key in keys:
        yield from field_rules.name(f"{path}.id", key.id)
        if not _DIGEST.match(key.digest):
            # The value is left out: it may be the key, pasted by mistake.
            yield problem.Problem(
                f"{path}.digest",
                "must be a SHA-256 digest of 64 lower-case hexadecimal"
                f" characters, has {len(key.digest)} characters",
            )
            continue
        if key.digest not in first_uses:
            first_uses[key.digest] = (path, name)
            continue
        other_path, other = first_uses[key.digest]
        reason = (
            "the same organisation has it twice"
            if other == name
            else f"organisations {other!r} and {name!r} share a key"
        )
        yield problem.Problem(
            f"{path}.digest",
            f"the digest is also at {other_path}.digest: {reason}",
        )
