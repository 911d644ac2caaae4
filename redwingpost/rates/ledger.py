"""One VM's account of one organisation's rate: base, borrowed, lent.

Load pattern: callers of an organisation come through any VM, and now
and then all through one. Without accounts that sum to one whole, six VMs
either grant the rate six times or refuse five sixths of it to callers
that happen to share a VM.

Every call settles the account up to ``now`` first: parts whose time is
up leave before a token is spent. A VM that wakes from a pause therefore
finds its share lapsed by its own clock, before it serves anyone; without
this it would spend a part that another VM has been given meanwhile.
"""

from typing import NamedTuple

from redwingpost.rates.bucket import Bucket


class Borrowed(NamedTuple):
    """Parts on loan from another VM; ``valid_until`` in seconds."""

    lender: str
    loan: int
    parts: int
    valid_until: float


class Lent(NamedTuple):
    """Parts on loan to another VM; they come back at ``lapses_at``."""

    loan: int
    borrower: str
    parts: int
    lapses_at: float


class Base(NamedTuple):
    """Parts that the roster grants this VM, in force between two times."""

    parts: int
    usable_from: float
    valid_until: float


NO_BASE = Base(0, 0.0, 0.0)


class Ledger:
    """Parts and tokens of one organisation on one VM.

    Parameters
    ----------
    rate, burst : float
        The organisation's whole rate (statements a second) and burst.
    now : float
        Seconds.

    Examples
    --------
    >>> ledger = Ledger(rate=60.0, burst=6.0, now=0.0)
    >>> ledger.set_base(Base(1_000_000, 0.0, valid_until=5.0), now=0.0)
    >>> ledger.spend(1_000_000, now=0.05)
    True
    >>> ledger.spend(1_000_000, now=5.0)
    False
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.bucket = Bucket(rate, burst, now)
        self.base = NO_BASE
        self.borrowed_by_loan: dict[tuple[str, int], Borrowed] = {}
        self.lent_by_loan: dict[int, Lent] = {}
        self._now = now

    def parts_at(self, now: float) -> int:
        """Return the parts held at ``now``: base, less lent, plus borrowed.

        What is lent beyond the base (after the base shrank) does not eat
        into what others lent to this VM: the roster waits for such loans
        to lapse before it grants the difference to anyone.
        """
        lent = sum(loan.parts for loan in self.lent_by_loan.values())
        borrowed = sum(
            loan.parts
            for loan in self.borrowed_by_loan.values()
            if loan.valid_until > now
        )
        return max(0, self.base_at(now) - lent) + borrowed

    def base_at(self, now: float) -> int:
        """Return the base parts in force at ``now``."""
        in_force = self.base.usable_from <= now < self.base.valid_until
        return self.base.parts if in_force else 0

    def unlent_base(self, now: float) -> int:
        """Return the base parts that are not on loan."""
        lent = sum(loan.parts for loan in self.lent_by_loan.values())
        return max(0, self.base_at(now) - lent)

    def settle(self, now: float) -> None:
        """Bring tokens and parts up to ``now``.

        Each lapse on the way takes effect at its own time, so that a
        part brings tokens up to its lapse and none after.
        """
        # Up to date already: a line of waiters asks many times about one
        # moment.
        if now <= self._now:
            return
        for moment in self._changes_until(now):
            self.bucket.settle(moment)
            self._drop_lapsed(moment)
            self.bucket.set_parts(self.parts_at(moment))
        self.bucket.settle(now)
        self._now = now

    def set_base(self, base: Base, now: float) -> None:
        """Take a base grant; added parts bring no tokens along."""
        self.settle(now)
        self.base = base
        self.bucket.set_parts(self.parts_at(now))

    def set_grant(self, rate: float, burst: float, now: float) -> None:
        """Take a changed rate and burst."""
        self.settle(now)
        self.bucket.set_grant(rate, burst)

    def spend(self, tokens: int, now: float) -> bool:
        """Spend micro-tokens if this VM holds them at ``now``."""
        self.settle(now)
        return self.bucket.take(tokens)

    def seconds_until(self, tokens: int, now: float) -> float:
        """Return when ``tokens`` will be there, as parts stand now.

        Infinite where the parts held can never gather as many.
        """
        self.settle(now)
        missing = tokens - self.bucket.tokens
        if missing <= 0:
            return 0.0
        if tokens > self.bucket.capacity():
            return float("inf")
        return missing / self.bucket.refill_per_s()

    def add_lent(self, lent: Lent, tokens: int, now: float) -> int:
        """Take parts and tokens out for a loan; return the tokens."""
        self.settle(now)
        allowed = min(tokens, self.bucket.capacity(lent.parts))
        removed = self.bucket.remove(allowed)
        self.lent_by_loan[lent.loan] = lent
        self.bucket.set_parts(self.parts_at(now))
        return removed

    def close_lent(self, loan: int, tokens: int, now: float) -> bool:
        """Take a loan back in; False where it is closed or lapsed."""
        self.settle(now)
        lent = self.lent_by_loan.pop(loan, None)
        if lent is None:
            return False
        self.bucket.set_parts(self.parts_at(now))
        # A borrower that answers with more than its loan can hold is
        # wrong; tokens beyond that would be created here.
        self.bucket.add(min(tokens, self.bucket.capacity(lent.parts)))
        return True

    def add_borrowed(self, loan: Borrowed, tokens: int, now: float) -> None:
        """Take in a loan's parts and tokens."""
        self.settle(now)
        self.borrowed_by_loan[(loan.lender, loan.loan)] = loan
        self.bucket.set_parts(self.parts_at(now))
        self.bucket.add(min(tokens, self.bucket.capacity(loan.parts)))

    def close_borrowed(
        self, key: tuple[str, int], keep: int, now: float
    ) -> int | None:
        """Take a loan out; return the tokens that go with it.

        Parameters
        ----------
        key : tuple of str and int
            Lender and number of the loan.
        keep : int
            Micro-tokens that this VM still needs, as far as they fit in
            what it still holds.
        now : float
            Seconds.

        Returns
        -------
        int or None
            Micro-tokens given up; None where the loan is gone.
        """
        self.settle(now)
        loan = self.borrowed_by_loan.pop(key, None)
        if loan is None:
            return None
        stay = self.bucket.capacity(self.parts_at(now))
        surplus = max(0, self.bucket.tokens - min(keep, stay))
        removed = self.bucket.remove(
            min(surplus, self.bucket.capacity(loan.parts))
        )
        self.bucket.set_parts(self.parts_at(now))
        return removed

    def _changes_until(self, now: float) -> list[float]:
        moments = [self.base.usable_from, self.base.valid_until]
        moments += [b.valid_until for b in self.borrowed_by_loan.values()]
        moments += [lent.lapses_at for lent in self.lent_by_loan.values()]
        return sorted(m for m in set(moments) if self._now < m <= now)

    def _drop_lapsed(self, moment: float) -> None:
        for key, loan in list(self.borrowed_by_loan.items()):
            if loan.valid_until <= moment:
                del self.borrowed_by_loan[key]
        for number, lent in list(self.lent_by_loan.items()):
            if lent.lapses_at <= moment:
                del self.lent_by_loan[number]
