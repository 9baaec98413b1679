"""Finds the process that owns the other end of a loopback connection."""

import contextlib
import os
import pathlib
import socket
import struct

# linux/sock_diag.h, linux/inet_diag.h, linux/netlink.h
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_NLMSG_ERROR = 2
_ALL_STATES = 0xFFFFFFFF
_NO_COOKIE = 0xFFFFFFFF
_HEADER = struct.Struct("=IHHII")
_REQUEST = struct.Struct("=BBBxI")
_PORTS = struct.Struct("!HH")
_COOKIES = struct.Struct("=III")
# Family, state, timer, retransmissions; sockets' ids; expires, queues, uid.
_INODE_OFFSET = _HEADER.size + 4 + 48 + 16


def find(pids, client, server):
    """Returns which of some processes owns a client socket, None for none.

    Args:
        pids: Ids of the processes.
        client: Host and port of the client's end.
        server: Host and port of the server's end.
    """
    link = f"socket:[{_inode(client, server)}]"
    for pid in pids:
        with contextlib.suppress(OSError):
            for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
                with contextlib.suppress(OSError):
                    if os.readlink(entry) == link:
                        return pid
    return None


def _inode(client, server):
    """Returns the inode of a client socket, 0 if it is gone.

    The kernel is asked for the one socket; a table of all of them takes long to
    read while other tests open many.
    """
    (host, port), (peer, peer_port) = client, server
    request = (
        _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, _ALL_STATES)
        + _PORTS.pack(port, peer_port)
        + socket.inet_aton(host).ljust(16, b"\0")
        + socket.inet_aton(peer).ljust(16, b"\0")
        + _COOKIES.pack(0, _NO_COOKIE, _NO_COOKIE)
    )
    header = _HEADER.pack(
        _HEADER.size + len(request), _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_DGRAM, _NETLINK_SOCK_DIAG
    ) as sock:
        sock.send(header + request)
        response = sock.recv(8192)
    if _HEADER.unpack_from(response)[1] == _NLMSG_ERROR:
        return 0
    return struct.unpack_from("=I", response, _INODE_OFFSET)[0]
