"""Hop-by-hop HTTP header fields, which are not forwarded."""

# RFC 9110, section 7.6.1, and RFC 9112, sections 6.1 and C.2.2.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
