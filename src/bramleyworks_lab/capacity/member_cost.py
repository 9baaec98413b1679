"""Cost of heartbeats, the member table, the tree and freshness."""

import itertools

import msgspec

from bramleyworks.adapters import listed_vm
from bramleyworks.messages import codec
from bramleyworks.policy import freshness
from bramleyworks.policy import relay_tree
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement
from bramleyworks_lab.capacity import synthetic

MEMBERS = (16, 160, 1600, 7500)
TINY_MEMBERS = (5, 10, 20)
MOVES = (0, 1, 4, 8)


def _member_bytes(count: int) -> float:
    return cost.kept_bytes(lambda: synthetic.table(count))


def _view_us(count: int) -> float:
    table = synthetic.table(count)
    return cost.cpu_us(lambda: table.view(synthetic.NOW_S, None, frozenset()))


def _hear_us(count: int) -> float:
    table = synthetic.table(count)
    numbers = itertools.count(2)
    beats = {}

    def hear() -> None:
        sequence = next(numbers)
        data = codec.encode(synthetic.beat(1, sequence))
        beats["last"] = codec.decode(data, "vm-00001").unwrap()
        table.handle_heartbeat(beats["last"], synthetic.NOW_S)

    return cost.cpu_us(hear)


def _neighbours_us(count: int) -> float:
    names = [synthetic.vm_name(i) for i in range(count)]
    return cost.cpu_us(lambda: relay_tree.neighbours(names, names[1]))


def _neighbour_number(count: int) -> float:
    names = [synthetic.vm_name(i) for i in range(count)]
    return float(
        max(
            len(relay_tree.neighbours(names, name))
            for name in names[: min(count, 64)]
        )
    )


def _fresh_us(count: int) -> float:
    known = synthetic.members(count)
    listed = frozenset({synthetic.vm_name(0), *known})
    now_s = synthetic.NOW_S
    return cost.cpu_us(
        lambda: freshness.confirmed_s(
            7, now_s, known, listed, synthetic.vm_name(0), True, now_s
        )
    )


def _fresh_age_us(count: int) -> float:
    table = synthetic.table(count)
    return cost.cpu_us(
        lambda: max(
            item.as_of_s - max(0.0, item.heartbeat.fresh_age_s)
            for item in table.members().values()
        )
    )


def _list_bytes(count: int) -> float:
    """Returns the size of the platform's list in the stand-in's format."""
    listed = []
    for number in range(count):
        beat = synthetic.beat(number)
        listed.append(
            listed_vm.ListedVm(
                beat.vm_id,
                beat.region,
                beat.failure_domain,
                beat.http,
                beat.peer,
            )
        )
    return float(len(msgspec.json.encode({"vms": listed})))


def _beat_bytes(moves: int) -> float:
    beat = synthetic.beat_with_moves(moves)
    return float(len(codec.encode(beat)))


MEASUREMENTS = tuple(
    measurement.Measurement(
        name, "membership", "members", unit, MEMBERS, TINY_MEMBERS, run
    )
    for name, unit, run in (
        ("member-bytes", "bytes", _member_bytes),
        ("member-view", "us", _view_us),
        ("vm-list-bytes", "bytes", _list_bytes),
        ("heartbeat-receive", "us", _hear_us),
        ("relay-neighbours", "us", _neighbours_us),
        ("relay-neighbour-number", "peers", _neighbour_number),
        ("freshness-confirm", "us", _fresh_us),
        ("freshness-age", "us", _fresh_age_us),
    )
) + (
    measurement.Measurement(
        "heartbeat-bytes",
        "membership",
        "routes under a move",
        "bytes",
        MOVES,
        MOVES,
        _beat_bytes,
    ),
)
