"""Cost of the client block table and of choosing an entry VM."""

from bramleyworks.policy import block_table
from bramleyworks.policy import entry_selection
from bramleyworks.policy import site
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement
from bramleyworks_lab.capacity import synthetic

BLOCKS = (10_000, 100_000, 1_000_000)
TINY_BLOCKS = (100, 200, 400)
MEMBERS = (10, 100, 1000, 7500)
TINY_MEMBERS = (5, 10, 20)


def _table_bytes(count: int) -> float:
    blocks = synthetic.blocks(count)
    # Tracing allocations makes the build several times slower. The arrays
    # hold the whole table, so their sizes are summed instead.
    table = block_table.build(blocks)
    return float(table._starts.nbytes + table._site_indexes.nbytes)


def _build_ms(count: int) -> float:
    blocks = synthetic.blocks(count)
    return cost.cpu_once_us(lambda: block_table.build(blocks)) / 1e3


def _find_us(count: int) -> float:
    table = block_table.build(synthetic.blocks(count))
    return cost.cpu_us(lambda: table.nearest("0.10.1.7"))


def _candidates_us(count: int) -> float:
    table = synthetic.table(count)
    return cost.cpu_us(
        lambda: entry_selection.candidates(
            table.view(synthetic.NOW_S, None, frozenset()), None, ()
        )
    )


def _choose_us(count: int) -> float:
    view = synthetic.table(count).view(synthetic.NOW_S, None, frozenset())
    vms = entry_selection.candidates(view, None, ())
    nearest = site.Site(*synthetic.place(1))
    return cost.cpu_us(lambda: entry_selection.choose(vms, "10.1.2.3", nearest))


MEASUREMENTS = (
    measurement.Measurement(
        "block-table-bytes",
        "look-up",
        "blocks",
        "bytes",
        BLOCKS,
        TINY_BLOCKS,
        _table_bytes,
    ),
    measurement.Measurement(
        "block-table-build",
        "look-up",
        "blocks",
        "ms",
        BLOCKS,
        TINY_BLOCKS,
        _build_ms,
    ),
    measurement.Measurement(
        "block-find", "look-up", "blocks", "us", BLOCKS, TINY_BLOCKS, _find_us
    ),
    measurement.Measurement(
        "entry-candidates",
        "look-up",
        "members",
        "us",
        MEMBERS,
        TINY_MEMBERS,
        _candidates_us,
    ),
    measurement.Measurement(
        "entry-choose",
        "look-up",
        "members",
        "us",
        MEMBERS,
        TINY_MEMBERS,
        _choose_us,
    ),
)
