"""Connections to upstreams that never deliver an answer twice."""

import aiohttp


class UpstreamConnector(aiohttp.TCPConnector):
    """A connection pool that leaves out connections with leftover bytes.

    An upstream that sends more than one answer to a request leaves bytes in an
    idle connection; the client library would hand them to the next request as
    its answer.
    """

    async def connect(self, req, traces, timeout):  # noqa: ASYNC109
        """Returns a connection on which nothing has arrived yet."""
        while True:
            conn = await super().connect(req, traces, timeout)
            if conn.protocol is None or not conn.protocol.should_close:
                return conn
            conn.close()
