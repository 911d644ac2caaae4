"""Positions that a caller's session has seen, and tokens carrying them."""

from redwingpost.sessions.positions import SessionPositions
from redwingpost.sessions.tokens import SessionToken, TokenMinter

__all__ = ["SessionPositions", "SessionToken", "TokenMinter"]
