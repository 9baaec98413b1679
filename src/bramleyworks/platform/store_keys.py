"""Keys of the platform's store, by whom they are written."""

UPSTREAMS = "servers/"
CONFIG = "op/config"
ROLLOUTS = "op/rollout/"
EVACUATIONS = "op/evacuate/"
MOVE_STATES = "status/rollout/"
# The prefix under which this system keeps what must last.
OWN = "bw/"
VMS = OWN + "vm/"
