"""The promises of the users' pages, checked against the record of a run."""

import collections
import hashlib

from soak import record

CONTACT_S = 4.0  # ``contact_ms`` of the site files.
APPLY_S = 2.5  # ``config_apply_ms``.
DOWNGRADE_S = 0.25  # ``downgrade_ms``; eight times that on a slowed VM.
DRAIN_S = 2.5  # ``drain_ms``.
EVACUATE_S = 5.0  # ``evacuate_ms``.
ROUTE_TIMEOUT_S = 1.5  # Of the routes in ``platform_fleet``.
# The pages allow half a second after a route's time limit.
LATE_S = 0.5
ATTEMPTS = 2  # Of the routes in ``platform_fleet``.
NOT_RUN = (408, 421, 429, 503)
ORGANISATION = "org-one"
_ID = "x-bramleyworks-attempt-id"


def broken(rec: record.Record) -> list[str]:
    """Returns a line for each broken promise."""
    checks = (
        _runs_were_asked_for,
        _orders_run_once,
        _refused_orders_never_run,
        _attempts_are_bounded,
        _answers_belong_to_their_requests,
        _proper_requests_are_not_denied,
        _configuration_never_goes_back,
        _configuration_comes_into_force,
        _answers_come_in_time,
        _drained_upstreams_get_nothing,
        _evacuated_domains_get_nothing,
        _revoked_keys_open_nothing,
        _moves_end,
        _processes_live,
    )
    return [line for check in checks for line in check(rec)]


def in_touch(rec, vm, from_s, until_s):
    """Returns whether a VM was unharmed in a time and long enough before."""
    return not any(
        span.vm in ("", vm)
        and span.start_s < until_s
        and span.end_s + CONTACT_S > from_s
        for span in rec.harmed
    )


def _by_id(rec):
    return {sent.request_id: sent for sent in rec.sent}


def _runs_by_id(rec):
    found = collections.defaultdict(list)
    for run in rec.runs:
        found[run.request_id].append(run)
    return found


def _runs_were_asked_for(rec):
    known = _by_id(rec)
    for run in rec.runs:
        sent = known.get(run.request_id)
        if sent is None:
            yield f"unasked: {run.request_id!r} ran at {run.upstream}"
            continue
        if (run.method, run.target, run.body) != (
            sent.method,
            sent.target,
            sent.body,
        ):
            yield f"unasked: {run.request_id} was changed on its way"
        if run.headers.get("x-bramleyworks-tenant") != ORGANISATION:
            yield f"unasked: {run.request_id} without its organisation"
        if "x-api-key" in run.headers:
            yield f"unasked: the key of {run.request_id} was passed on"
        left_ms = float(run.headers.get("x-bramleyworks-deadline-ms", "1e9"))
        if left_ms / 1000 > sent.deadline_s - sent.sent_s + LATE_S:
            yield f"budget: {run.request_id} was given {left_ms} ms"


def _orders_run_once(rec):
    known = _by_id(rec)
    for request_id, runs in _runs_by_id(rec).items():
        sent = known.get(request_id)
        if sent is not None and not sent.safe and len(runs) > 1:
            where = [run.upstream for run in runs]
            yield f"twice: {request_id} ran at {where}"


def _refused_orders_never_run(rec):
    runs = _runs_by_id(rec)
    for sent in rec.sent:
        if not sent.safe and sent.status in NOT_RUN and sent.request_id in runs:
            yield f"refused: {sent.request_id} got {sent.status} and has run"


def _attempts_are_bounded(rec):
    for request_id, runs in _runs_by_id(rec).items():
        if len(runs) > ATTEMPTS:
            yield f"budget: {request_id} ran {len(runs)} times"


def _answers_belong_to_their_requests(rec):
    runs = _runs_by_id(rec)
    for sent in rec.sent:
        seal = sent.headers.get("x-bramleyworks-response-seal")
        if 200 <= sent.status < 300:
            served_by = sent.answer.partition(" ")[0]
            expected = f"{served_by} {sent.target} {sent.body}"
            digest = hashlib.sha256(sent.answer.encode()).hexdigest()[:12]
            ran_at = {run.upstream for run in runs.get(sent.request_id, ())}
            if sent.answer != expected or seal != digest:
                yield f"mixed: {sent.request_id} got {sent.answer!r}, {seal}"
            elif served_by not in ran_at:
                yield f"mixed: {sent.request_id} did not run at {served_by}"
        elif seal is not None and sent.status != 500:
            yield f"mixed: {sent.request_id} got {sent.status} with a seal"
        echoed = sent.headers.get(_ID)
        if echoed is not None and echoed != sent.request_id:
            yield f"mixed: {sent.request_id} got the answer of {echoed}"


def _proper_requests_are_not_denied(rec):
    for sent in rec.sent:
        denied = 300 <= sent.status < 500 and sent.status not in NOT_RUN
        if denied and not sent.after and not sent.key_of:
            yield f"denied: {sent.request_id} got {sent.status}"


def _configuration_never_goes_back(rec):
    newest = {}
    slowed = DOWNGRADE_S * 8
    for sent in sorted(rec.sent, key=lambda item: item.sent_s):
        process = (sent.vm, sent.start)
        version, since_s = newest.get(process, (0, 0.0))
        if sent.status == 404 and sent.after:
            if sent.after <= version and sent.sent_s > since_s + slowed:
                yield f"config: {sent.vm} went back from version {version}"
        elif sent.status == 200 and sent.after > version:
            newest[process] = (sent.after, sent.done_s)


def _configuration_comes_into_force(rec):
    for sent in rec.sent:
        if sent.status != 404 or not sent.after:
            continue
        due_s = rec.configs.get(sent.after, sent.sent_s) + APPLY_S
        if sent.sent_s > due_s and in_touch(
            rec, sent.vm, due_s - APPLY_S, sent.done_s
        ):
            yield f"config: {sent.vm} has not version {sent.after} in time"


def _answers_come_in_time(rec):
    for sent in rec.sent:
        if sent.given_up:
            continue
        end_s = min(sent.deadline_s, sent.sent_s + ROUTE_TIMEOUT_S) + LATE_S
        if sent.behind is not None:
            # Answers of one connection keep the order of their requests.
            end_s = max(end_s, sent.behind.done_s + LATE_S)
        if (sent.done_s or end_s + 1.0) > end_s and in_touch(
            rec, sent.vm, sent.sent_s, end_s
        ):
            yield (
                f"late: {sent.request_id} got {sent.status} after "
                f"{sent.done_s - sent.sent_s:.2f} s at {sent.vm}"
            )


def _drained_upstreams_get_nothing(rec):
    known = _by_id(rec)
    for run in rec.runs:
        sent = known.get(run.request_id)
        since_s = rec.drained.get(run.upstream)
        if sent is None or since_s is None:
            continue
        if sent.sent_s > since_s + DRAIN_S and in_touch(
            rec, sent.vm, since_s, run.at_s
        ):
            yield f"drain: {run.request_id} ran at {run.upstream}"


def _evacuated_domains_get_nothing(rec):
    known = _by_id(rec)
    for run in rec.runs:
        sent = known.get(run.request_id)
        for item in rec.evacuated:
            if (
                sent is not None
                and run.domain == item.domain
                and item.start_s + EVACUATE_S < run.at_s < item.end_s
                and in_touch(rec, sent.vm, item.start_s, run.at_s)
            ):
                yield f"evacuation: {run.request_id} ran at {run.upstream}"


def _revoked_keys_open_nothing(rec):
    for sent in rec.sent:
        if not sent.key_of or sent.status != 200:
            continue
        later = [at for n, at in rec.configs.items() if n > sent.key_of]
        due_s = min(later, default=sent.sent_s) + APPLY_S
        if sent.sent_s > due_s and in_touch(
            rec, sent.vm, due_s - APPLY_S, sent.done_s
        ):
            yield f"key: {sent.request_id} was served with a withdrawn key"


def _moves_end(rec):
    for move in rec.moves:
        if move.bad and move.state == "done":
            yield "move: a bad version was accepted"
        ended = move.state in ("done", "reverted")
        if not ended and in_touch(rec, "", move.start_s, move.due_s):
            yield f"move: {move.state or 'nothing'} at its deadline"


def _processes_live(rec):
    yield from (f"process: {line}" for line in rec.ended)
    yield from (f"stop: {line}" for line in rec.late_stops)
    if not rec.recovered:
        yield "recover: a VM did not serve again in time"
