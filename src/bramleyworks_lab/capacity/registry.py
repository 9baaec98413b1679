"""All measurements that run within one process."""

from bramleyworks_lab.capacity import audit_cost
from bramleyworks_lab.capacity import config_cost
from bramleyworks_lab.capacity import gateway_cost
from bramleyworks_lab.capacity import health_cost
from bramleyworks_lab.capacity import ledger_cost
from bramleyworks_lab.capacity import lookup_cost
from bramleyworks_lab.capacity import measurement
from bramleyworks_lab.capacity import member_cost
from bramleyworks_lab.capacity import move_cost
from bramleyworks_lab.capacity import relay_cost
from bramleyworks_lab.capacity import ticket_cost

ALL: tuple[measurement.Measurement, ...] = (
    *lookup_cost.MEASUREMENTS,
    *ticket_cost.MEASUREMENTS,
    *config_cost.MEASUREMENTS,
    *relay_cost.MEASUREMENTS,
    *ledger_cost.MEASUREMENTS,
    *move_cost.MEASUREMENTS,
    *health_cost.MEASUREMENTS,
    *member_cost.MEASUREMENTS,
    *audit_cost.MEASUREMENTS,
    *gateway_cost.MEASUREMENTS,
)
