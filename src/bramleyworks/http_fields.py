"""HTTP header fields with a meaning for one connection only."""

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
