"""What a member has promised: terms, claims, promotion, following.

Pure state, without network or clock: the member's service asks it what a
control statement may do. A promise outlives a crash of the member.
"""

from typing import NamedTuple


class Promise(NamedTuple):
    """The highest term a member has promised and who claimed it."""

    term: int = 0
    claimant: str = ""


class PromiseBook:
    """The promises of one member, and the term it leads or follows.

    Parameters
    ----------
    member : str
        Name of the member.

    Examples
    --------
    >>> book = PromiseBook("m")
    >>> book.claim(2, "vm-1")
    True
    >>> book.claim(2, "vm-2")
    False
    >>> book.may_promote(2, "vm-1")
    True
    >>> book.lead(2)
    >>> book.is_primary
    True
    >>> book.claim(3, "vm-2")
    True
    >>> book.is_primary
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
        """Whether the member may commit: it leads its promised term."""
        return self.primary_term > 0 and self.primary_term == self.promise.term

    @property
    def is_following(self) -> bool:
        """Whether the member takes entries from the one it follows."""
        return bool(self.follows) and self.follows_term == self.promise.term

    def claim(self, term: int, claimant: str) -> bool:
        """Promise ``term`` to ``claimant``; False where it is refused."""
        asked = Promise(term, claimant)
        if term < self.promise.term:
            return False
        if term == self.promise.term and asked != self.promise:
            return False
        self.promise = asked
        return True

    def may_promote(self, term: int, claimant: str) -> bool:
        """Say whether the promise in force is this claimant's."""
        return self.promise == Promise(term, claimant)

    def lead(self, term: int) -> None:
        """Become the primary of ``term``."""
        self.primary_term = term
        self.follows = ""
        self.follows_term = 0

    def follow(self, term: int, primary: str) -> bool:
        """Follow ``primary``; False where the promise forbids it.

        A primary doesn't leave its own term: the group would have none.
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
