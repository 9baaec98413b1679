"""Cost of tickets, by number of finished tickets that a VM keeps."""

from bramleyworks.policy import ticket_outcome
from bramleyworks.policy import tickets
from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import measurement

TICKETS = (1000, 10_000, 100_000)
TINY_TICKETS = (10, 20, 40)


def _run_one(table: tickets.TicketTable) -> None:
    table.issue("org-1")
    sequence = table.last_sequence
    table.begin(sequence, "org-1", "digest", 1.0)
    table.finish(
        sequence, ticket_outcome.TicketOutcome("done", 201, "text/plain"), 1.0
    )


def _table(count: int) -> tickets.TicketTable:
    table = tickets.TicketTable("vm-00001.0123456789ab")
    for _ in range(count):
        _run_one(table)
    return table


def _retained_bytes(count: int) -> float:
    return cost.retained_bytes(lambda: _table(count))


def _run_us(count: int) -> float:
    table = _table(count)
    return cost.cpu_us(lambda: _run_one(table))


MEASUREMENTS = tuple(
    measurement.Measurement(
        name, "request path", "tickets", unit, TICKETS, TINY_TICKETS, run
    )
    for name, unit, run in (
        ("ticket-kept-bytes", "bytes", _retained_bytes),
        ("ticket-run", "us", _run_us),
    )
)
