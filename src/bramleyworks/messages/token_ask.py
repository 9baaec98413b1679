"""Request for tokens of a limit."""

import msgspec


class TokenAsk(msgspec.Struct, frozen=True, tag="token_ask"):
    """Asks a peer for tokens of a limit.

    Attributes:
        ask_id: Identifies the reply.
        limit: Name of the limit.
        amount: Tokens wanted.
    """

    ask_id: int
    limit: str
    amount: float
