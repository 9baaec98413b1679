"""HTTP client sessions for the services of the platform."""

import aiohttp

# Shorter than the keep-alive timeout of common servers (5 s), so that a call
# rarely reuses a connection that the server is closing.
IDLE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 0.5


def create(
    timeout_s: float, local_ip: str = "", **kwargs
) -> aiohttp.ClientSession:
    """Returns a session that sends each request at most once.

    Args:
        timeout_s: Timeout of one call in seconds, including connecting.
        local_ip: Address to connect from, empty for any.
        **kwargs: Passed to ``aiohttp.ClientSession``.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            keepalive_timeout=IDLE_TIMEOUT_S,
            local_addr=(local_ip, 0) if local_ip else None,
        ),
        timeout=aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        headers={"Accept-Encoding": "identity"},
        **kwargs,
    )
    # aiohttp retries idempotent methods, including PUT, after the loss of a
    # reused connection, which could apply a write twice. There is no public
    # option to disable this.
    session._retry_connection = False
    return session
