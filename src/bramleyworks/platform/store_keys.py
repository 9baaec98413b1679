"""Keys and key prefixes of the platform's store, grouped by their writers."""

UPSTREAMS = "servers/"
CONFIG = "op/config"
MOVE_ORDERS = "op/rollout/"
EVACUATIONS = "op/evacuate/"
MOVE_STATES = "status/rollout/"
# Prefix of the keys that this system writes for its own persistent state.
OWN_PREFIX = "bw/"
VMS = OWN_PREFIX + "vm/"
# Holder of each duty that one VM at a time performs, and what it recorded.
DUTIES = OWN_PREFIX + "duty/"
