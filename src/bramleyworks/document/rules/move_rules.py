"""Rules for version moves."""

from bramleyworks.document import move
from bramleyworks.document import problem
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules
from bramleyworks.policy import move_schedule as schedule

MOVE_MAX_S = 30 * 86400.0
# A move applied after the start of its second step would begin with a larger
# share than that of its first step.
FIRST_STEP_SHARE = schedule.STEP_START_FRACTIONS[1]
TIME_MAX_S = 1e11


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of all version moves."""
    moves = context.doc.moves
    yield from field_rules.unique(
        ((f"moves[{i}].id", item.id) for i, item in enumerate(moves)),
        "the id of a move",
    )
    first: dict[str, int] = {}
    for i, item in enumerate(moves):
        path = f"moves[{i}]"
        yield from field_rules.name(f"{path}.id", item.id)
        if first.setdefault(item.service, i) != i:
            yield problem.Problem(
                f"{path}.service",
                f"service {field_rules.shorten(item.service)} already has the"
                f" move at moves[{first[item.service]}]; a service has at most"
                " 1 move at once, remove an ended one",
            )
        before = context.previous_moves.get(item.id)
        if before is not None and before != item:
            yield problem.Problem(
                f"{path}.id",
                f"id {item.id!r} was used for another move; a changed move"
                " needs a new id",
            )
        yield from _check_versions(path, item, before == item, context)
        # A move already in force may have an old start and deadline.
        if before != item:
            yield from _check_times(path, item, context.now_s)


def _check_versions(
    path: str,
    item: move.Move,
    in_force: bool,
    context: check_context.CheckContext,
) -> field_rules.Problems:
    yield from field_rules.known(
        f"{path}.service", item.service, context.services, "service"
    )
    if item.from_version == item.to_version:
        yield problem.Problem(
            f"{path}.to_version",
            f"must differ from from_version {item.from_version!r}",
        )
    service = context.services.get(item.service)
    if service is None:
        return
    allowed = {item.from_version}
    if in_force:
        # After a move completes, the operator sets the service to its target.
        allowed.add(item.to_version)
    if service.version not in allowed:
        yield problem.Problem(
            f"{path}.from_version",
            f"must be the version {service.version!r} of service"
            f" {item.service!r}, is {field_rules.shorten(item.from_version)}",
        )
    if not context.upstreams.get((item.service, item.to_version)):
        yield problem.Problem(
            f"{path}.to_version",
            f"service {item.service!r} must have at least 1 upstream of version"
            f" {field_rules.shorten(item.to_version)}, has none",
        )


def _check_times(
    path: str, item: move.Move, now_s: float
) -> field_rules.Problems:
    out_of_range = [
        *field_rules.number(
            f"{path}.start_s", item.start_s, 0, TIME_MAX_S, "s of Unix time"
        ),
        *field_rules.number(
            f"{path}.deadline_s",
            item.deadline_s,
            0,
            TIME_MAX_S,
            "s of Unix time",
        ),
    ]
    if out_of_range:
        yield from out_of_range
        return
    length_s = item.deadline_s - item.start_s
    left_s = item.deadline_s - max(item.start_s, now_s)
    if item.deadline_s <= now_s:
        yield problem.Problem(
            f"{path}.deadline_s",
            f"must be in the future, is {now_s - item.deadline_s:.0f} s ago",
        )
    elif length_s <= 0:
        yield problem.Problem(
            f"{path}.deadline_s",
            f"must be after start_s, is {-length_s:.0f} s before it",
        )
    elif left_s < schedule.MIN_MOVE_DURATION_S:
        yield problem.Problem(
            f"{path}.deadline_s",
            f"must leave at least {schedule.MIN_MOVE_DURATION_S:.0f} s for the"
            f" steps of the move, leaves {left_s:.0f} s",
        )
    elif length_s > MOVE_MAX_S:
        yield problem.Problem(
            f"{path}.deadline_s",
            f"must be at most {MOVE_MAX_S:.0f} s after start_s, is"
            f" {length_s:.0f} s after it",
        )
    elif now_s - item.start_s > FIRST_STEP_SHARE * length_s:
        yield problem.Problem(
            f"{path}.start_s",
            f"must be at most {FIRST_STEP_SHARE:.0%} of the move's time"
            f" ({FIRST_STEP_SHARE * length_s:.0f} s) ago, so that the move"
            f" begins with its first step, is {now_s - item.start_s:.0f} s ago",
        )
