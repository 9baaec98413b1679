"""Request for tokens of a limit."""

import msgspec


class TokenAsk(msgspec.Struct, frozen=True, tag="token_ask"):
    """Asks a peer for tokens of a limit.

    Attributes:
        ask_id: Id that the reply repeats.
        limit: Name of the limit.
        amount: Requested tokens.
    """

    ask_id: int
    limit: str
    amount: float
