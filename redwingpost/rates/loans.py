"""Loans of parts between VMs: the two sides as state machines.

Load pattern: demand moves between VMs faster than the table service
should be asked (a balancer moves callers, a VM drains, one caller
bursts), and it moves during store outages too. Without loans a VM grants
only its equal part of a rate, and refuses five sixths of a burst that
all arrives at one of six VMs.

Conservation rests on four rules.

- The lender subtracts parts and tokens before it answers. A lost answer
  strands them until the loan lapses; it never doubles them.
- The borrower counts the validity from before it asked, the lender from
  after: a loan lapses at the borrower first, whatever the delay.
- The borrower subtracts before it gives back. Each loan closes once, so
  a repeated or late message finds no loan and changes nothing.
- Only base parts are lent, never borrowed ones, and never beyond the
  base's own validity. There is no chain of loans to unwind.

A restarted VM has forgotten what it lent: it must leave its base unused
for ``QUARANTINE_S``.
"""

from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from redwingpost.rates.ledger import Borrowed, Ledger, Lent

#: Seconds that a loan is valid without renewal. A borrower's death
#: strands its loans this long, so it bounds the wrongful refusals that a
#: death causes; every loan costs a renewal each half of it.
LOAN_S = 1.0

#: Seconds that the lender waits longer than the borrower: clocks of two
#: VMs differ by parts in ten thousand at most, a tenth is ample.
MARGIN_S = 0.1

#: Seconds after a start during which base parts stay unused: by then
#: every loan that the previous process on this VM made has lapsed.
QUARANTINE_S = LOAN_S + MARGIN_S

#: Seconds of validity left at which a borrower renews a loan that it
#: needs: three tries of a slow round trip (100 ms) fit in.
RENEW_AHEAD_S = 0.5


class Ask(NamedTuple):
    """A borrower's request; ``asked_at`` stays with the borrower."""

    ask: int
    lender: str
    parts: int
    tokens: int
    asked_at: float


class Grant(NamedTuple):
    """A lender's answer; zero parts where it has none to spare."""

    loan: int
    parts: int
    tokens: int
    valid_s: float


class Return(NamedTuple):
    """A loan that the borrower gives back, already subtracted."""

    lender: str
    loan: int
    parts: int
    tokens: int


NO_GRANT = Grant(0, 0, 0, 0.0)

#: Numbers that one process may use; at 250 loans a second it lasts an
#: hour and more before it reaches those of a restart a millisecond on,
#: which is far beyond the life of any loan.
_NUMBERS_PER_INCARNATION_BITS = 20


def numbers_of(incarnation: int) -> Iterator[int]:
    """Return the loan and request numbers of one process.

    Parameters
    ----------
    incarnation : int
        Milliseconds of wall clock at the start, or anything that grows.

    Examples
    --------
    >>> numbers = numbers_of(1)
    >>> next(numbers), next(numbers)
    (1048577, 1048578)
    """
    return count((incarnation << _NUMBERS_PER_INCARNATION_BITS) + 1)


class Lender:
    """The side that lends base parts of one organisation.

    Parameters
    ----------
    ledger : Ledger
        The organisation's account on this VM.
    numbers : iterator of int
        Loan numbers, shared by all organisations of the process. After a
        restart they start at one never used (see `first_number`), so
        that a message about an old loan can't be taken for a new one's.
    """

    def __init__(self, ledger: Ledger, numbers: Iterator[int]) -> None:
        self.ledger = ledger
        self._numbers = numbers

    def lend(
        self, borrower: str, parts: int, tokens: int, now: float
    ) -> Grant:
        """Lend at most ``parts`` and ``tokens``, as far as they're here."""
        self.ledger.settle(now)
        parts = min(parts, self.ledger.unlent_base(now))
        valid_s = self._validity(now)
        if parts <= 0 or valid_s <= 0:
            return NO_GRANT
        lent = Lent(
            next(self._numbers), borrower, parts, now + valid_s + MARGIN_S
        )
        moved = self.ledger.add_lent(lent, tokens, now)
        return Grant(lent.loan, parts, moved, valid_s)

    def renew(self, loan: int, wanted_back: bool, now: float) -> float:
        """Return the new validity in seconds; 0 asks for the loan back."""
        self.ledger.settle(now)
        lent = self.ledger.lent_by_loan.get(loan)
        valid_s = self._validity(now)
        overdrawn = self._overdrawn(now)
        if lent is None or wanted_back or overdrawn or valid_s <= 0:
            return 0.0
        lapses_at = max(lent.lapses_at, now + valid_s + MARGIN_S)
        self.ledger.lent_by_loan[loan] = lent._replace(lapses_at=lapses_at)
        return valid_s

    def take_back(self, loan: int, tokens: int, now: float) -> bool:
        """Close a loan; False where it was closed before or lapsed."""
        return self.ledger.close_lent(loan, tokens, now)

    def _validity(self, now: float) -> float:
        # A loan that outlived the base would still be spent after the
        # roster has granted the base to another VM.
        left = self.ledger.base.valid_until - now - MARGIN_S
        return min(LOAN_S, left)

    def _overdrawn(self, now: float) -> bool:
        lent = sum(x.parts for x in self.ledger.lent_by_loan.values())
        return lent > self.ledger.base_at(now)


class Borrower:
    """The side that borrows parts of one organisation.

    Parameters
    ----------
    ledger : Ledger
        The organisation's account on this VM.
    numbers : iterator of int
        As `Lender`'s: an answer to the process that ran here before
        must not pass for one to this process, which asked later and
        would count its validity from then.
    """

    def __init__(self, ledger: Ledger, numbers: Iterator[int]) -> None:
        self.ledger = ledger
        self._numbers = numbers
        self._asks_by_number: dict[int, Ask] = {}

    def ask(self, lender: str, parts: int, tokens: int, now: float) -> Ask:
        """Open a request to a lender."""
        ask = Ask(next(self._numbers), lender, parts, tokens, now)
        self._asks_by_number[ask.ask] = ask
        return ask

    def forget(self, ask: int) -> None:
        """Give up a request whose answer will not be waited for."""
        self._asks_by_number.pop(ask, None)

    def accept(self, ask: int, grant: Grant, now: float) -> bool:
        """Take in an answer; False where it is late or repeated."""
        asked = self._asks_by_number.pop(ask, None)
        if asked is None or grant.parts <= 0:
            return False
        valid_until = asked.asked_at + grant.valid_s
        if valid_until <= now:
            return False
        loan = Borrowed(asked.lender, grant.loan, grant.parts, valid_until)
        self.ledger.add_borrowed(loan, grant.tokens, now)
        return True

    def renewed(
        self,
        key: tuple[str, int],
        valid_s: float,
        asked_at: float,
        now: float,
    ) -> bool:
        """Take in a renewal; False where the lender wants it back."""
        self.ledger.settle(now)
        loan = self.ledger.borrowed_by_loan.get(key)
        if loan is None or valid_s <= 0:
            return False
        valid_until = max(loan.valid_until, asked_at + valid_s)
        self.ledger.borrowed_by_loan[key] = loan._replace(
            valid_until=valid_until
        )
        return True

    def give_back(
        self, key: tuple[str, int], keep: int, now: float
    ) -> Return | None:
        """Subtract a loan and return the message for its lender.

        ``keep`` is how many micro-tokens this VM still needs.
        """
        self.ledger.settle(now)
        loan = self.ledger.borrowed_by_loan.get(key)
        tokens = self.ledger.close_borrowed(key, keep, now)
        if loan is None or tokens is None:
            return None
        return Return(loan.lender, loan.loan, loan.parts, tokens)

    def due_for_renewal(self, now: float) -> list[Borrowed]:
        """Return the loans whose validity runs out soon."""
        self.ledger.settle(now)
        return [
            loan
            for loan in self.ledger.borrowed_by_loan.values()
            if loan.valid_until - now <= RENEW_AHEAD_S
        ]
