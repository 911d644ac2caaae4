"""A member's promises: terms, claims, promotion and following.

The state uses neither network nor clock; ``Member`` consults it before it
executes a control statement. Promises survive a crash of the member.
"""

from typing import NamedTuple


class Promise(NamedTuple):
    """The highest term that a member has promised, and its claimant."""

    term: int = 0
    claimant: str = ""


class TermState:
    """A member's promise and the term that it leads or follows.

    Parameters
    ----------
    member : str
        Name of the member.

    Examples
    --------
    >>> term_state = TermState("m")
    >>> term_state.claim(2, "vm-1")
    True
    >>> term_state.claim(2, "vm-2")
    False
    >>> term_state.may_promote(2, "vm-1")
    True
    >>> term_state.lead(2)
    >>> term_state.is_primary
    True
    >>> term_state.claim(3, "vm-2")
    True
    >>> term_state.is_primary
    False
    """

    def __init__(self, member: str) -> None:
        self.member = member
        self.promise = Promise()
        self.primary_term = 0
        self.follows = ""
        self.follows_term = 0

    @property
    def is_primary(self) -> bool:
        """Whether the member leads its promised term and may commit."""
        return self.primary_term > 0 and self.primary_term == self.promise.term

    @property
    def is_following(self) -> bool:
        """Whether the member follows another one in its promised term."""
        return bool(self.follows) and self.follows_term == self.promise.term

    def claim(self, term: int, claimant: str) -> bool:
        """Promise ``term`` to ``claimant``.

        Returns False if a higher term is promised, or this one to another
        claimant.
        """
        requested = Promise(term, claimant)
        if term < self.promise.term:
            return False
        if term == self.promise.term and requested != self.promise:
            return False
        self.promise = requested
        return True

    def may_promote(self, term: int, claimant: str) -> bool:
        """Return whether ``term`` is promised to ``claimant``."""
        return self.promise == Promise(term, claimant)

    def lead(self, term: int) -> None:
        """Become the primary of ``term``."""
        self.primary_term = term
        self.follows = ""
        self.follows_term = 0

    def follow(self, term: int, primary: str) -> bool:
        """Follow ``primary``; return False if the promise forbids it.

        A primary can't become a follower in the term that it leads: the
        group would have no primary.
        """
        if term < self.promise.term or primary == self.member:
            return False
        if self.primary_term == term:
            return False
        if term > self.promise.term:
            self.promise = Promise(term, "")
        self.follows = primary
        self.follows_term = term
        return True
