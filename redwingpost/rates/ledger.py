"""The parts of one organisation's rate that one VM holds.

A VM holds base parts, parts borrowed from other VMs, and gives up those
that it lends.

Load pattern: callers of an organisation connect through any VM, and at
times all through one. Unless the parts of all VMs sum to the total, six
VMs either grant the rate six times or refuse five sixths of it to
callers that happen to share a VM.

Every call first advances the ledger to ``now``: expired parts are
dropped before a token is spent. A VM that resumes after a pause thus
finds its parts expired by its own clock before it serves a caller.
Otherwise it would spend parts that another VM has received meanwhile.
"""

from typing import NamedTuple

from redwingpost.rates.bucket import Bucket


class Borrowed(NamedTuple):
    """Parts borrowed from another VM until ``valid_until`` (seconds)."""

    lender: str
    loan: int
    parts: int
    valid_until: float


class Lent(NamedTuple):
    """Parts lent to another VM; the loan expires at ``expires_at``."""

    loan: int
    borrower: str
    parts: int
    expires_at: float


class BaseParts(NamedTuple):
    """Parts that the roster assigns to this VM for a span of time."""

    parts: int
    usable_from: float
    valid_until: float


NO_BASE_PARTS = BaseParts(0, 0.0, 0.0)


class Ledger:
    """Parts and tokens of one organisation on one VM.

    Parameters
    ----------
    rate, burst : float
        The organisation's total rate (statements a second) and burst.
    now : float
        Seconds.

    Examples
    --------
    >>> ledger = Ledger(rate=60.0, burst=6.0, now=0.0)
    >>> ledger.set_base(BaseParts(1_000_000, 0.0, valid_until=5.0), now=0.0)
    >>> ledger.spend(1_000_000, now=0.05)
    True
    >>> ledger.spend(1_000_000, now=5.0)
    False
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.bucket = Bucket(rate, burst, now)
        self.base = NO_BASE_PARTS
        self.borrowed_by_loan: dict[tuple[str, int], Borrowed] = {}
        self.lent_by_loan: dict[int, Lent] = {}
        self._now = now

    def parts_at(self, now: float) -> int:
        """Return the parts held at ``now``: base less lent plus borrowed.

        Parts lent beyond a base that has shrunk are not subtracted from
        the borrowed parts: before the difference is assigned to another
        VM, these loans have expired (``HAND_OVER_S`` in the roster).
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
        """Return the base parts that are not lent."""
        lent = sum(loan.parts for loan in self.lent_by_loan.values())
        return max(0, self.base_at(now) - lent)

    def advance(self, now: float) -> None:
        """Update tokens and parts to ``now``.

        Each expiry in between takes effect at its own time, so that a
        part adds tokens until it expires and none afterwards.
        """
        # Already up to date: a queue of waiting requests calls this many
        # times with the same ``now``.
        if now <= self._now:
            return
        for change_at in self._change_times_until(now):
            self.bucket.refill(change_at)
            self._drop_expired(change_at)
            self.bucket.set_parts(self.parts_at(change_at))
        self.bucket.refill(now)
        self._now = now

    def set_base(self, base: BaseParts, now: float) -> None:
        """Replace the base parts; added parts come without tokens."""
        self.advance(now)
        self.base = base
        self.bucket.set_parts(self.parts_at(now))

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Apply a changed rate and burst."""
        self.advance(now)
        self.bucket.set_limits(rate, burst)

    def spend(self, tokens: int, now: float) -> bool:
        """Spend ``tokens`` micro-tokens if this VM holds them."""
        self.advance(now)
        return self.bucket.take(tokens)

    def seconds_until(self, tokens: int, now: float) -> float:
        """Return the seconds until this VM holds ``tokens``.

        Assumes that the parts held don't change. Infinite if these parts
        can't hold as many tokens.
        """
        self.advance(now)
        missing = tokens - self.bucket.tokens
        if missing <= 0:
            return 0.0
        if tokens > self.bucket.capacity():
            return float("inf")
        return missing / self.bucket.refill_per_s()

    def add_lent(self, lent: Lent, tokens: int, now: float) -> int:
        """Subtract a loan to a peer; return the tokens subtracted."""
        self.advance(now)
        allowed = min(tokens, self.bucket.capacity(lent.parts))
        removed = self.bucket.remove(allowed)
        self.lent_by_loan[lent.loan] = lent
        self.bucket.set_parts(self.parts_at(now))
        return removed

    def close_lent(self, loan: int, tokens: int, now: float) -> bool:
        """Add a returned loan; False if it was closed or has expired."""
        self.advance(now)
        lent = self.lent_by_loan.pop(loan, None)
        if lent is None:
            return False
        self.bucket.set_parts(self.parts_at(now))
        # A faulty borrower may return more tokens than the loan can hold;
        # the excess would be created here.
        self.bucket.add(min(tokens, self.bucket.capacity(lent.parts)))
        return True

    def add_borrowed(self, loan: Borrowed, tokens: int, now: float) -> None:
        """Add the parts and tokens of a loan from a peer."""
        self.advance(now)
        self.borrowed_by_loan[(loan.lender, loan.loan)] = loan
        self.bucket.set_parts(self.parts_at(now))
        self.bucket.add(min(tokens, self.bucket.capacity(loan.parts)))

    def close_borrowed(
        self, key: tuple[str, int], keep: int, now: float
    ) -> int | None:
        """Subtract a borrowed loan; return the tokens to send back.

        Parameters
        ----------
        key : tuple of str and int
            Lender and number of the loan.
        keep : int
            Micro-tokens that this VM still needs; it keeps as many of
            them as its remaining parts can hold.
        now : float
            Seconds.

        Returns
        -------
        int or None
            Micro-tokens subtracted; None if the loan has expired or was
            returned before.
        """
        self.advance(now)
        loan = self.borrowed_by_loan.pop(key, None)
        if loan is None:
            return None
        remaining_capacity = self.bucket.capacity(self.parts_at(now))
        surplus = max(0, self.bucket.tokens - min(keep, remaining_capacity))
        removed = self.bucket.remove(
            min(surplus, self.bucket.capacity(loan.parts))
        )
        self.bucket.set_parts(self.parts_at(now))
        return removed

    def _change_times_until(self, now: float) -> list[float]:
        times = [self.base.usable_from, self.base.valid_until]
        times += [b.valid_until for b in self.borrowed_by_loan.values()]
        times += [lent.expires_at for lent in self.lent_by_loan.values()]
        return sorted(at for at in set(times) if self._now < at <= now)

    def _drop_expired(self, change_at: float) -> None:
        for key, loan in list(self.borrowed_by_loan.items()):
            if loan.valid_until <= change_at:
                del self.borrowed_by_loan[key]
        for number, lent in list(self.lent_by_loan.items()):
            if lent.expires_at <= change_at:
                del self.lent_by_loan[number]
