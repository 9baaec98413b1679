"""Cost of heartbeats, the member table, the relay tree and freshness."""

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
    return cost.retained_bytes(lambda: synthetic.table(count))


def _view_us(count: int) -> float:
    table = synthetic.table(count)
    return cost.cpu_us(lambda: table.view(synthetic.NOW_S, None, frozenset()))


def _receive_us(count: int) -> float:
    table = synthetic.table(count)
    sequences = itertools.count(2)
    received = {}

    def receive() -> None:
        sequence = next(sequences)
        data = codec.encode(synthetic.make_heartbeat(1, sequence))
        received["last"] = codec.decode(data, "vm-00001").unwrap()
        table.handle_heartbeat(received["last"], synthetic.NOW_S)

    return cost.cpu_us(receive)


def _neighbours_us(count: int) -> float:
    names = [synthetic.vm_name(i) for i in range(count)]
    return cost.cpu_us(lambda: relay_tree.neighbours(names, names[1]))


def _max_neighbour_count(count: int) -> float:
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


def _vm_list_bytes(count: int) -> float:
    """Returns the size of the platform's VM list as the stand-in encodes it."""
    listed = []
    for number in range(count):
        message = synthetic.make_heartbeat(number)
        listed.append(
            listed_vm.ListedVm(
                message.vm_id,
                message.region,
                message.failure_domain,
                message.http,
                message.peer,
            )
        )
    return float(len(msgspec.json.encode({"vms": listed})))


def _heartbeat_bytes(moves: int) -> float:
    message = synthetic.make_heartbeat_with_moves(moves)
    return float(len(codec.encode(message)))


MEASUREMENTS = tuple(
    measurement.Measurement(
        name, "membership", "members", unit, MEMBERS, TINY_MEMBERS, run
    )
    for name, unit, run in (
        ("member-bytes", "bytes", _member_bytes),
        ("member-view", "us", _view_us),
        ("vm-list-bytes", "bytes", _vm_list_bytes),
        ("heartbeat-receive", "us", _receive_us),
        ("relay-neighbours", "us", _neighbours_us),
        ("relay-neighbour-number", "peers", _max_neighbour_count),
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
        _heartbeat_bytes,
    ),
)
