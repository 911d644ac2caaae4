"""What a caller's session has seen, and the token that carries it."""

from redwingpost.sessions.positions import SessionPositions
from redwingpost.sessions.tokens import SessionToken, TokenMinter

__all__ = ["SessionPositions", "SessionToken", "TokenMinter"]
