"""Tokens granted to a peer."""

import msgspec


class TokenGrant(msgspec.Struct, frozen=True, tag="token_grant"):
    """Tokens that the sender has taken from its own bucket.

    Attributes:
        ask_id: Id of the ask it answers.
        limit: Name of the limit.
        amount: Granted tokens, 0 for none.
    """

    ask_id: int
    limit: str
    amount: float
