"""Connection pool that rejects connections with unexpected data."""

import aiohttp


class UpstreamConnector(aiohttp.TCPConnector):
    """A connection pool that closes idle connections with unread bytes.

    An upstream that sends more than one response to a request leaves bytes in
    an idle connection. aiohttp would treat them as the response to the next
    request on that connection.
    """

    async def connect(self, req, traces, timeout):  # noqa: ASYNC109
        """Returns a connection without unread bytes."""
        while True:
            conn = await super().connect(req, traces, timeout)
            if conn.protocol is None or not conn.protocol.should_close:
                return conn
            conn.close()
