"""Free TCP ports on loopback."""

import itertools
import os
import socket

# Below the ephemeral range of Linux. Otherwise an outgoing connection could
# take a port after it was chosen and before it is bound.
_FIRST_PORT = 20_000
_PORT_COUNT = 12_000
_candidates = itertools.count(os.getpid() * 97)


def free_port():
    """Returns an unused port that was not returned before."""
    for number in itertools.islice(_candidates, _PORT_COUNT):
        port = _FIRST_PORT + number % _PORT_COUNT
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port on loopback")
