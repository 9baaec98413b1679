"""Cost of the ledger record and of the rate limits that use its units."""

from bramleyworks.daemon import limit_task
from bramleyworks.document import codec
from bramleyworks.policy import ledger
from bramleyworks.policy import ledger_entry
from bramleyworks.policy import share_ledger
from bramleyworks_lab import model_network
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement
from bramleyworks_lab.capacity import synthetic

MEMBERS = (23, 326, 1600, 7500)
TINY_MEMBERS = (5, 10, 20)
ORGANISATIONS = (8, 80, 800)
TINY_ORGANISATIONS = (2, 4, 8)


def _record(count: int) -> ledger.Ledger:
    units = ledger.TOTAL_UNITS // count
    return ledger.Ledger(
        epoch=9,
        free_units=ledger.TOTAL_UNITS - units * count,
        members={
            synthetic.vm_name(i): ledger_entry.LedgerEntry(
                f"{i:012x}", units, synthetic.place(i)[0], (f"up-{i}",)
            )
            for i in range(count)
        },
    )


def _bytes(count: int) -> float:
    return float(len(ledger.encode(_record(count))))


def _retained_bytes(count: int) -> float:
    data = ledger.encode(_record(count))
    return cost.retained_bytes(lambda: ledger.decode(data).unwrap())


def _decode_us(count: int) -> float:
    data = ledger.encode(_record(count))
    return cost.cpu_us(lambda: ledger.decode(data).unwrap())


def _on_fleet_us(count: int) -> float:
    state = share_ledger.ShareState(
        synthetic.vm_name(0), f"{0:012x}", synthetic.place(0)[0], 0.0
    )
    state = share_ledger.on_read(
        state, synthetic.NOW_S, synthetic.NOW_S, _record(count), 9
    )
    table = synthetic.table(count - 1)
    listed = frozenset({synthetic.vm_name(0), *table.members()})
    view = table.view(synthetic.NOW_S, listed, frozenset())
    return cost.cpu_us(
        lambda: share_ledger.on_fleet(state, synthetic.NOW_S, view, 0.5)
    )


class _FixedUnits:
    """Stand-in for the share of a VM, with a constant number of units."""

    def units_at(self, now_s: float) -> int:
        """Returns the number of units, the same at any time."""
        return 504


def _limit_task(organisations: int) -> limit_task.LimitTask:
    network = model_network.ModelNetwork(lambda source, target: 0.0)
    task = limit_task.LimitTask(
        synthetic.vm_identity(),
        model_network.ModelLink(network, synthetic.vm_name(0), "region-0"),
        _FixedUnits(),
        lambda: synthetic.NOW_S,
    )
    stored = synthetic.stored(organisations * 8)
    task.on_config(codec.decode_stored(codec.encode_stored(stored)).unwrap())
    return task


def _idle_tick_us(organisations: int) -> float:
    return cost.cpu_us(_limit_task(organisations).tick)


def _busy_tick_us(organisations: int) -> float:
    task = _limit_task(organisations)

    def tick() -> None:
        for i in range(organisations):
            task.try_take(f"org:org-{i}", 0.0)
        task.tick()

    return cost.cpu_us(tick)


def _limit_bytes(organisations: int) -> float:
    return cost.retained_bytes(lambda: _limit_task(organisations))


MEASUREMENTS = tuple(
    measurement.Measurement(
        name, "rate grants", "members", unit, MEMBERS, TINY_MEMBERS, run
    )
    for name, unit, run in (
        ("ledger-bytes", "bytes", _bytes),
        ("ledger-kept-bytes", "bytes", _retained_bytes),
        ("ledger-decode", "us", _decode_us),
        ("ledger-on-fleet", "us", _on_fleet_us),
    )
) + tuple(
    measurement.Measurement(
        name,
        "rate grants",
        "organisations",
        unit,
        ORGANISATIONS,
        TINY_ORGANISATIONS,
        run,
    )
    for name, unit, run in (
        ("limit-idle-tick", "us", _idle_tick_us),
        ("limit-busy-tick", "us", _busy_tick_us),
        ("limit-kept-bytes", "bytes", _limit_bytes),
    )
)
