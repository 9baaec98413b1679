"""Keys of the platform's store, by whom they are written."""

UPSTREAMS = "servers/"
CONFIG = "op/config"
MOVE_ORDERS = "op/rollout/"
EVACUATIONS = "op/evacuate/"
MOVE_STATES = "status/rollout/"
# The prefix under which this system keeps what must last.
OWN_PREFIX = "bw/"
VMS = OWN_PREFIX + "vm/"
