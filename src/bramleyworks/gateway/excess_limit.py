"""Bounds the bytes of an upstream that are not part of a wanted response."""

# Bytes of heads, informational responses, chunk extensions and trailers that
# an exchange may receive, apart from the body.
MAX_OVERHEAD_BYTES = 64 * 1024
# Bytes of bodies of other requests' responses that an exchange may receive.
# Late copies of responses are discarded up to this size.
MAX_DISCARDED_BYTES = 1024 * 1024
# Overhead allowed for each chunk of a body: its size and two line ends.
CHUNK_FRAMING_BYTES = 16


class ExcessLimit:
    """Counts the bytes of one exchange by what they are part of."""

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        """Starts the counts of a new exchange."""
        self._overhead = 0
        self._discarded = 0

    def add_received(self, size: int) -> None:
        """Counts received bytes, as overhead until they are known as body."""
        self._overhead += size

    def add_body(self, size: int) -> None:
        """Moves bytes of the wanted response's body out of the overhead."""
        self._overhead = max(0, self._overhead - size - CHUNK_FRAMING_BYTES)

    def add_discarded(self, size: int) -> None:
        """Counts bytes of the body of another request's response."""
        self.add_body(size)
        self._discarded += size

    @property
    def is_exceeded(self) -> bool:
        """Whether the exchange should be given up."""
        return (
            self._overhead > MAX_OVERHEAD_BYTES
            or self._discarded > MAX_DISCARDED_BYTES
        )
